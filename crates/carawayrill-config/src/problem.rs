//! Problems in settings files, and their positions.

use std::fmt;

use compact_str::CompactString;

/// The most characters of an invalid value that a message quotes.
const MAX_PRINTED_CHARS: usize = 60;

/// The position of a value in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// Name of the file, for example `sites/mids-east-1.yaml`.
    pub file: CompactString,
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
}

/// A problem in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Position of the problem.
    pub origin: Origin,
    /// Path of the field, for example `services.forms.shards`; empty for the file as a whole.
    pub field: String,
    /// Description of the problem and of what was expected.
    pub text: String,
}

impl Problem {
    /// Creates a problem of the field at path `field`.
    #[must_use]
    pub fn new(origin: &Origin, field: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            origin: origin.clone(),
            field: field.into(),
            text: text.into(),
        }
    }

    /// Creates the problem of a value that does not have the expected format.
    #[must_use]
    pub fn value(origin: &Origin, field: &str, found: &str, expected: &str) -> Self {
        let printed: String = found.chars().take(MAX_PRINTED_CHARS).collect();
        Self::new(
            origin,
            field,
            format!("found `{printed}`, expected {expected}"),
        )
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            return write!(f, "{}: {}", self.origin, self.text);
        }
        write!(f, "{}: {}: {}", self.origin, self.field, self.text)
    }
}
