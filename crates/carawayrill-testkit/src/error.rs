//! The error type of the load generator and of the process harness.

use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error of the load generator or of the process harness.
    pub Error(ErrorKind)
}

quick_error! {
    /// The kind of error. Private, so that kinds can be added without breaking callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// A setting is out of range or can't be read.
        Settings { reason: String } {
            display("{reason}")
        }
        /// An HTTP request failed.
        Http { reason: String } {
            display("request failed: {reason}")
        }
        /// A process can't be started or misbehaves.
        Process { reason: String } {
            display("process error: {reason}")
        }
    }
}

impl Error {
    /// Returns an error for a setting that is out of range or can't be read.
    #[must_use]
    pub fn settings(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Settings {
                reason: reason.into(),
            },
        }
    }

    /// Returns an error for a failed HTTP request.
    #[must_use]
    pub fn http(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Http {
                reason: reason.into(),
            },
        }
    }

    /// Returns an error for a process that can't be started or misbehaves.
    #[must_use]
    pub fn process(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Process {
                reason: reason.into(),
            },
        }
    }
}
