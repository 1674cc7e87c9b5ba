//! The error of this layer.

use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error that keeps a router from starting or from carrying on.
    pub Error(ErrorKind)
}

quick_error! {
    /// What went wrong.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// The settings can't be used.
        Settings { reason: String } {
            display("{reason}")
        }
        /// Logs or metrics can't be set up.
        Telemetry(err: carawayrill_telemetry::Error) {
            from()
            display("{err}")
        }
        /// An address can't be listened on.
        Listen { address: std::net::SocketAddr, reason: String } {
            display("can't listen on {address}: {reason}")
        }
        /// A listener ended.
        Serve { reason: String } {
            display("a listener ended: {reason}")
        }
    }
}

impl Error {
    /// Makes the error of settings that can't be used.
    #[must_use]
    pub fn settings(reason: impl Into<String>) -> Self {
        ErrorKind::Settings {
            reason: reason.into(),
        }
        .into()
    }

    /// Makes the error of an address that can't be listened on.
    #[must_use]
    pub fn listen(address: std::net::SocketAddr, reason: impl Into<String>) -> Self {
        ErrorKind::Listen {
            address,
            reason: reason.into(),
        }
        .into()
    }

    /// Makes the error of a listener that ended.
    #[must_use]
    pub fn serve(reason: impl Into<String>) -> Self {
        ErrorKind::Serve {
            reason: reason.into(),
        }
        .into()
    }
}

impl From<carawayrill_telemetry::Error> for Error {
    fn from(err: carawayrill_telemetry::Error) -> Self {
        ErrorKind::Telemetry(err).into()
    }
}
