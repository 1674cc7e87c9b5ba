//! The error of this layer.

use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error of the load tool or of the process harness.
    pub Error(ErrorKind)
}

quick_error! {
    /// What went wrong. Private, so that kinds can be added without breaking callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// A setting that is out of range.
        Settings { reason: String } {
            display("{reason}")
        }
        /// A call that failed.
        Http { reason: String } {
            display("call failed: {reason}")
        }
        /// A process that can't be started or does not do what it should.
        Process { reason: String } {
            display("process: {reason}")
        }
    }
}

impl Error {
    /// Makes the error of a setting that is out of range.
    #[must_use]
    pub fn settings(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Settings {
                reason: reason.into(),
            },
        }
    }

    /// Makes the error of a call that failed.
    #[must_use]
    pub fn http(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Http {
                reason: reason.into(),
            },
        }
    }

    /// Makes the error of a process that can't be started or misbehaves.
    #[must_use]
    pub fn process(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Process {
                reason: reason.into(),
            },
        }
    }
}
