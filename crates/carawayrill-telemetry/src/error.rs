//! Errors of setting up telemetry.

use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error in setting up events, logs or metrics.
    pub Error(ErrorKind)
}

quick_error! {
    /// The kinds of errors.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// Events and logs were initialised before.
        AlreadyInitialised {
            display("events and logs are already initialised")
        }
        /// The thread that writes the logs could not be started.
        Output { reason: String } {
            display("could not start the log thread: {reason}")
        }
        /// The socket for metrics could not be opened.
        Metrics { reason: String } {
            display("could not open the metrics socket: {reason}")
        }
    }
}

impl Error {
    pub(crate) fn already_initialised() -> Self {
        Self {
            kind: ErrorKind::AlreadyInitialised,
        }
    }

    pub(crate) fn output(reason: &str) -> Self {
        Self {
            kind: ErrorKind::Output {
                reason: reason.to_owned(),
            },
        }
    }

    pub(crate) fn metrics(reason: &str) -> Self {
        Self {
            kind: ErrorKind::Metrics {
                reason: reason.to_owned(),
            },
        }
    }
}
