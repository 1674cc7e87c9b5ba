//! The error type of the crate.

use std::fmt;
use std::path::Path;

use carawayrill_core::layer_error;
use quick_error::quick_error;

use crate::Problem;

layer_error! {
    /// An error in the settings, or in reading or writing their files.
    pub Error(ErrorKind)
}

quick_error! {
    /// The kinds of errors. Private, so that adding one does not break callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// A file that can't be read or written.
        File { path: String, reason: String } {
            display("{path}: {reason}")
        }
        /// The settings are not valid. Has all problems, sorted by file and line.
        Problems { problems: Vec<Problem> } {
            display("{}", lines(problems))
        }
    }
}

/// Formats one problem per line.
fn lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl Error {
    /// Creates the error of a file that can't be read or written.
    #[must_use]
    pub fn file(path: &Path, reason: impl fmt::Display) -> Self {
        Self {
            kind: ErrorKind::File {
                path: path.display().to_string(),
                reason: reason.to_string(),
            },
        }
    }

    /// Creates the error of settings with `problems`.
    #[must_use]
    pub fn problems(mut problems: Vec<Problem>) -> Self {
        problems.sort();
        problems.dedup();
        Self {
            kind: ErrorKind::Problems { problems },
        }
    }

    /// Returns all problems of the settings; empty if a file could not be read or written.
    #[must_use]
    pub fn all_problems(&self) -> &[Problem] {
        match &self.kind {
            ErrorKind::Problems { problems } => problems,
            ErrorKind::File { .. } => &[],
        }
    }
}

impl From<Vec<Problem>> for Error {
    fn from(problems: Vec<Problem>) -> Self {
        Self::problems(problems)
    }
}
