//! The error of this layer.

use carawayrill_core::id::Version;
use carawayrill_core::layer_error;
use quick_error::quick_error;

layer_error! {
    /// An error of a call to an outside system.
    pub Error(ErrorKind)
}

/// What may have become of a call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call had no effect.
    NotDone,
    /// The call may have had its effect; only reading back tells.
    Unknown,
}

quick_error! {
    /// What went wrong. Private, so that kinds can be added without breaking callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// A conditional update found another version.
        Conflict { found: Version } {
            display("the object is at version {found}")
        }
        /// The system can't be reached, or answered that it does not serve now.
        Unavailable { reason: String } {
            display("not available: {reason}")
        }
        /// The call was sent, but no whole answer came in time.
        NoResponse { reason: String } {
            display("no answer: {reason}")
        }
        /// The changes after the given revision are not kept any more.
        HistoryLost {
            display("the history after this revision is gone")
        }
        /// The answer does not have the agreed form.
        Malformed { reason: String } {
            display("malformed answer: {reason}")
        }
    }
}

impl Error {
    /// Makes the error of a conditional update that found version `found`.
    #[must_use]
    pub fn conflict(found: Version) -> Self {
        Self {
            kind: ErrorKind::Conflict { found },
        }
    }

    /// Makes the error of a call that was not carried out.
    #[must_use]
    pub fn unavailable(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Unavailable {
                reason: reason.into(),
            },
        }
    }

    /// Makes the error of a call that was sent and not answered.
    #[must_use]
    pub fn no_response(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::NoResponse {
                reason: reason.into(),
            },
        }
    }

    /// Makes the error of a watch whose history is gone: it has to start from revision 0 again.
    #[must_use]
    pub fn history_lost() -> Self {
        Self {
            kind: ErrorKind::HistoryLost,
        }
    }

    /// Returns whether a watch has to start from revision 0 again.
    #[must_use]
    pub fn is_history_lost(&self) -> bool {
        matches!(self.kind, ErrorKind::HistoryLost)
    }

    /// Makes the error of an answer that can't be read.
    #[must_use]
    pub fn malformed(reason: impl Into<String>) -> Self {
        Self {
            kind: ErrorKind::Malformed {
                reason: reason.into(),
            },
        }
    }

    /// Tells what may have become of the call.
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
