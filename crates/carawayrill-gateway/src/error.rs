//! The error of this layer.

use std::net::SocketAddr;

use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error that keeps a gateway from running.
    pub Error(ErrorKind)
}

quick_error! {
    /// What went wrong. Private, so that kinds can be added without breaking callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// An address can't be listened on.
        Listen { address: SocketAddr, source: std::io::Error } {
            display("can't listen on {address}: {source}")
            source(source)
        }
        /// A signal can't be waited for.
        Signal { source: std::io::Error } {
            display("can't wait for signals: {source}")
            source(source)
        }
        /// A metric can't be registered.
        Metrics { source: prometheus::Error } {
            display("can't register a metric: {source}")
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
