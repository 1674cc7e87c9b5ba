//! The error of this layer.

use compact_str::CompactString;
use quick_error::quick_error;

use crate::layer_error;

layer_error! {
    /// An error of the core layer: a value that can't be read, or a trace that can't be replayed.
    #[derive(Clone, PartialEq, Eq)]
    pub Error(ErrorKind)
}

quick_error! {
    /// What went wrong. Private, so that kinds can be added without breaking callers.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ErrorKind {
        /// A text that doesn't have the form of the wanted type.
        Syntax { what: &'static str, found: CompactString, expected: &'static str } {
            display("{what}: found `{found}`, expected {expected}")
        }
        /// A trace line that can't be used.
        Trace { line: usize, reason: String } {
            display("trace line {line}: {reason}")
        }
    }
}

impl Error {
    /// Makes the error for a `text` that doesn't have the form of the type named `what`.
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

    /// Makes the error for line number `line` (from 1) of a trace.
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
