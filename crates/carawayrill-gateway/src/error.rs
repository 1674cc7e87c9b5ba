//! The error type of this crate.

use std::net::SocketAddr;

use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error that prevents a gateway from starting.
    pub Error(ErrorKind)
}

quick_error! {
    /// The cause of the error. Private, so that variants can be added without breaking callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// Listening on an address failed.
        Listen { address: SocketAddr, source: std::io::Error } {
            display("could not listen on {address}: {source}")
            source(source)
        }
        /// Installing a signal handler failed.
        Signal { source: std::io::Error } {
            display("could not install a signal handler: {source}")
            source(source)
        }
        /// Registering a metric failed.
        Metrics { source: prometheus::Error } {
            display("could not register a metric: {source}")
            source(source)
        }
    }
}

impl Error {
    pub(crate) fn listen(address: SocketAddr, source: std::io::Error) -> Self {
        ErrorKind::Listen { address, source }.into()
    }

    pub(crate) fn signal(source: std::io::Error) -> Self {
        ErrorKind::Signal { source }.into()
    }

    pub(crate) fn metrics(source: prometheus::Error) -> Self {
        ErrorKind::Metrics { source }.into()
    }
}
