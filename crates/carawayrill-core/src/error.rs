//! The error type of this crate.

use compact_str::CompactString;
use quick_error::quick_error;

use crate::layer_error;

layer_error! {
    /// An error of this crate: a value that can't be parsed, or a trace that can't be replayed.
    #[derive(Clone, PartialEq, Eq)]
    pub Error(ErrorKind)
}

quick_error! {
    /// The kind of an [`Error`]. It is private so that kinds can be added without breaking callers.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ErrorKind {
        /// A text that is not in the format of the expected type.
        Syntax { what: &'static str, found: CompactString, expected: &'static str } {
            display("{what}: found `{found}`, expected {expected}")
        }
        /// A trace line that is invalid.
        Trace { line: usize, reason: String } {
            display("trace line {line}: {reason}")
        }
    }
}

impl Error {
    /// Creates the error for the text `found` that is not in the format of the type named `what`.
    #[must_use]
    pub fn syntax(what: &'static str, found: &str, expected: &'static str) -> Self {
        Self {
            kind: ErrorKind::Syntax {
                what,
                found: found.into(),
                expected,
            },
        }
    }

    /// Creates the error for line `line` of a trace, counted from 1.
    #[must_use]
    pub fn trace(line: usize, reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Trace {
                line,
                reason: reason.into(),
            },
        }
    }
}
