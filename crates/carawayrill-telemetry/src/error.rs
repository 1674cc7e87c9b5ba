//! The error of this layer.

use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error in setting up events, logs or metrics.
    pub Error(ErrorKind)
}

quick_error! {
    /// What went wrong.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// Set up twice.
        AlreadyInitialized {
            display("events and logs are set up already")
        }
        /// No thread that writes the logs.
        Output { reason: String } {
            display("no thread for logs: {reason}")
        }
        /// No socket for metrics.
        Metrics { reason: String } {
            display("no socket for metrics: {reason}")
        }
    }
}

impl Error {
    /// Makes the error of a second set-up.
    pub(crate) fn already_initialized() -> Self {
        Self {
            kind: ErrorKind::AlreadyInitialized,
        }
    }

    /// Makes the error of logs that can't be written.
    pub(crate) fn output(reason: &str) -> Self {
        Self {
            kind: ErrorKind::Output {
                reason: reason.to_owned(),
            },
        }
    }

    /// Makes the error of metrics that can't be sent.
    pub(crate) fn metrics(reason: &str) -> Self {
        Self {
            kind: ErrorKind::Metrics {
                reason: reason.to_owned(),
            },
        }
    }
}
