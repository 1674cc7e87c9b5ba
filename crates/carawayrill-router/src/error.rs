//! The error type of the router.

use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error that prevents a router from starting or makes it exit.
    pub Error(ErrorKind)
}

quick_error! {
    /// The kinds of errors.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// The settings are invalid.
        Settings { reason: String } {
            display("{reason}")
        }
        /// Logging or metrics could not be set up.
        Telemetry(err: carawayrill_telemetry::Error) {
            from()
            display("{err}")
        }
        /// A listener could not be opened on an address.
        Listen { address: std::net::SocketAddr, reason: String } {
            display("could not listen on {address}: {reason}")
        }
        /// A listener or another part of the server failed.
        Serve { reason: String } {
            display("server failed: {reason}")
        }
    }
}

impl Error {
    /// Creates an error for invalid settings.
    #[must_use]
    pub fn settings(reason: impl Into<String>) -> Self {
        ErrorKind::Settings {
            reason: reason.into(),
        }
        .into()
    }

    /// Creates an error for an address that could not be listened on.
    #[must_use]
    pub fn listen(address: std::net::SocketAddr, reason: impl Into<String>) -> Self {
        ErrorKind::Listen {
            address,
            reason: reason.into(),
        }
        .into()
    }

    /// Creates an error for a listener or another part of the server that failed.
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
