//! Errors of calls to external systems.

use carawayrill_core::id::Version;
use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error of a call to an external system.
    pub Error(ErrorKind)
}

/// What a failed call may have done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call had no effect.
    NotDone,
    /// The call may have taken effect; the caller has to read back to find out.
    Unknown,
}

quick_error! {
    /// The kinds of errors. Private, so that kinds can be added without breaking callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// A conditional update found another version.
        Conflict { found: Version } {
            display("the object is at version {found}")
        }
        /// The system can't be reached or refused to serve the call.
        Unavailable { reason: String } {
            display("not available: {reason}")
        }
        /// The call was sent, but no complete response arrived in time.
        NoResponse { reason: String } {
            display("no response: {reason}")
        }
        /// The changes after the given revision are no longer kept.
        HistoryLost {
            display("the changes after this revision are no longer kept")
        }
        /// The response does not follow the protocol.
        Malformed { reason: String } {
            display("malformed response: {reason}")
        }
    }
}

impl Error {
    /// Creates the error of a conditional update that found version `found`.
    #[must_use]
    pub fn conflict(found: Version) -> Self {
        Self {
            kind: ErrorKind::Conflict { found },
        }
    }

    /// Creates the error of a call that had no effect.
    #[must_use]
    pub fn unavailable(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Unavailable {
                reason: reason.into(),
            },
        }
    }

    /// Creates the error of a call that was sent and got no response.
    #[must_use]
    pub fn no_response(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::NoResponse {
                reason: reason.into(),
            },
        }
    }

    /// Creates the error of a watch whose history is no longer kept; the watch has to restart from
    /// revision 0.
    #[must_use]
    pub fn history_lost() -> Self {
        Self {
            kind: ErrorKind::HistoryLost,
        }
    }

    /// Returns whether a watch has to restart from revision 0.
    #[must_use]
    pub fn is_history_lost(&self) -> bool {
        matches!(self.kind, ErrorKind::HistoryLost)
    }

    /// Creates the error of an invalid response.
    #[must_use]
    pub fn malformed(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Malformed {
                reason: reason.into(),
            },
        }
    }

    /// Returns what the failed call may have done.
    #[must_use]
    pub fn outcome(&self) -> CallOutcome {
        match self.kind {
            ErrorKind::Conflict { .. } | ErrorKind::Unavailable { .. } | ErrorKind::HistoryLost => {
                CallOutcome::NotDone
            }
            ErrorKind::NoResponse { .. } | ErrorKind::Malformed { .. } => CallOutcome::Unknown,
        }
    }

    /// Returns the version that a conditional update found instead of the expected one.
    #[must_use]
    pub fn conflicting_version(&self) -> Option<Version> {
        match self.kind {
            ErrorKind::Conflict { found } => Some(found),
            _ => None,
        }
    }
}
