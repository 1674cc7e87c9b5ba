//! The error of this layer.

use std::fmt;
use std::path::Path;

use carawayrill_core::layer_error;
use quick_error::quick_error;

use crate::Problem;

layer_error! {
    /// Settings that can't be used.
    pub Error(ErrorKind)
}

quick_error! {
    /// What went wrong. Private, so that kinds can be added without breaking callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// A file that can't be read or written.
        File { path: String, reason: String } {
            display("{path}: {reason}")
        }
        /// The settings are wrong. All problems, in the order of files and lines.
        Problems { problems: Vec<Problem> } {
            display("{}", lines(problems))
        }
    }
}

/// Writes one problem a line.
fn lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl Error {
    /// Makes the error of a file that can't be read or written.
    #[must_use]
    pub fn file(path: &Path, reason: impl fmt::Display) -> Self {
        Self {
            kind: ErrorKind::File {
                path: path.display().to_string(),
                reason: reason.to_string(),
            },
        }
    }

    /// Makes the error of settings with `problems`.
    #[must_use]
    pub fn problems(mut problems: Vec<Problem>) -> Self {
        problems.sort();
        problems.dedup();
        Self {
            kind: ErrorKind::Problems { problems },
        }
    }

    /// Returns everything that is wrong with the settings; empty if they couldn't be read at all.
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
