//! The error of this layer.

use std::fmt;

use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error of the controller daemon.
    pub Error(ErrorKind)
}

quick_error! {
    /// What went wrong. Private, so that kinds can be added without breaking callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// A call to the store failed.
        Store(err: carawayrill_store::Error) {
            display("store: {err}")
            source(err)
        }
        /// An object of the store doesn't have the form of its kind.
        Object { name: String, reason: String } {
            display("object {name}: {reason}")
        }
        /// A router can't be reached, or its answer can't be read.
        Router { reason: String } {
            display("router: {reason}")
        }
        /// The configuration can't be read.
        Config(err: carawayrill_config::accept::Error) {
            display("configuration: {err}")
            source(err)
        }
        /// Events, metrics or the listening socket can't be set up.
        Start { reason: String } {
            display("can't start: {reason}")
        }
    }
}

impl Error {
    /// Makes the error of an object that doesn't have the form of its kind.
    pub fn object(name: &str, reason: impl fmt::Display) -> Self {
        Self {
            kind: ErrorKind::Object {
                name: name.to_owned(),
                reason: reason.to_string(),
            },
        }
    }

    /// Makes the error of a router that can't be reached or understood.
    pub fn router(reason: impl fmt::Display) -> Self {
        Self {
            kind: ErrorKind::Router {
                reason: reason.to_string(),
            },
        }
    }

    /// Makes the error of a configuration that can't be read.
    #[must_use]
    pub fn config(err: carawayrill_config::accept::Error) -> Self {
        Self {
            kind: ErrorKind::Config(err),
        }
    }

    /// Makes the error of a process that can't start.
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
