//! The error type of the controller.

use std::fmt;

use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error of the controller daemon.
    pub Error(ErrorKind)
}

quick_error! {
    /// The kind of an error. Private, so that kinds can be added without breaking callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// A call to the store failed.
        Store(err: carawayrill_store::Error) {
            display("store: {err}")
            source(err)
        }
        /// A stored object can't be encoded or decoded, or a named object is not known.
        Object { name: String, reason: String } {
            display("object {name}: {reason}")
        }
        /// A router can't be reached, or its response is invalid.
        Router { reason: String } {
            display("router: {reason}")
        }
        /// The configuration can't be read.
        Config(err: carawayrill_config::accept::Error) {
            display("configuration: {err}")
            source(err)
        }
        /// Event recording, metrics, signal handlers or the listening socket can't be set up.
        Start { reason: String } {
            display("could not start: {reason}")
        }
    }
}

impl Error {
    /// Returns the error for a stored object that can't be encoded or decoded, or for an unknown
    /// name.
    pub fn object(name: &str, reason: impl fmt::Display) -> Self {
        Self {
            kind: ErrorKind::Object {
                name: name.to_owned(),
                reason: reason.to_string(),
            },
        }
    }

    /// Returns the error for a router that can't be reached or whose response is invalid.
    pub fn router(reason: impl fmt::Display) -> Self {
        Self {
            kind: ErrorKind::Router {
                reason: reason.to_string(),
            },
        }
    }

    /// Returns the error for a configuration that can't be read.
    #[must_use]
    pub fn config(err: carawayrill_config::accept::Error) -> Self {
        Self {
            kind: ErrorKind::Config(err),
        }
    }

    /// Returns the error for a process that can't start.
    pub fn start(reason: impl fmt::Display) -> Self {
        Self {
            kind: ErrorKind::Start {
                reason: reason.to_string(),
            },
        }
    }
}

impl From<carawayrill_store::Error> for Error {
    fn from(err: carawayrill_store::Error) -> Self {
        Self {
            kind: ErrorKind::Store(err),
        }
    }
}
