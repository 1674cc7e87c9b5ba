//! One thing that is wrong with a settings file, and where.

use std::fmt;

use compact_str::CompactString;

/// The longest text of a wrong value that a message repeats, in characters.
const MAX_PRINTED_CHARS: usize = 60;

/// Where a value was written.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The file, as in `sites/mids-east-1.yaml`.
    pub file: CompactString,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
}

/// One thing that is wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Where it is.
    pub origin: Origin,
    /// The path of the field, as in `services.forms.shards`. Empty for the file as a whole.
    pub field: String,
    /// What is wrong and what was expected.
    pub text: String,
}

impl Problem {
    /// Makes a problem of the field at path `field`.
    #[must_use]
    pub fn new(origin: &Origin, field: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            origin: origin.clone(),
            field: field.into(),
            text: text.into(),
        }
    }

    /// Makes the problem of a value that does not have the expected form.
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
