//! The error type of the `accept` module.

use carawayrill_core::id::Generation;
use carawayrill_core::layer_error;
use carawayrill_store::CallOutcome;
use quick_error::quick_error;

use crate::accept::merge::MergeConflict;

layer_error! {
    /// An error from proposing an edit or reading the configuration in force.
    pub Error(ErrorKind)
}

quick_error! {
    /// The kinds of errors. Private, so that adding one does not break callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// The store failed, and nothing was changed.
        Store { cause: carawayrill_store::Error } {
            display("store error: {cause}")
        }
        /// The edit was sent to the store, and it is not known whether it took effect.
        OutcomeUnknown { reason: String } {
            display("it is not known whether the edit was accepted ({reason}); propose the same edit again to find out, it takes effect at most once")
        }
        /// Concurrent edits changed the same fields.
        MergeConflict { in_force: Generation, conflicts: Vec<MergeConflict> } {
            display("{}", conflict_lines(*in_force, conflicts))
        }
        /// The edit is not a valid deployment, either alone or merged with concurrent edits.
        Invalid { merged_with: Option<Generation>, cause: crate::Error } {
            display("{}", invalid_lines(*merged_with, cause))
        }
        /// The edit is based on a generation that is not in the store's history.
        UnknownOrigin { from: Generation, in_force: Generation } {
            display("the files are based on generation {from}, which is not in the history of generation {in_force} in force; fetch the files in force and edit those")
        }
        /// Concurrent edits changed the head at each attempt; this edit changed nothing.
        Contended {
            display("concurrent edits changed the configuration at each attempt; this edit was not accepted, try again")
        }
        /// A file exceeds the size limit of an object in the store.
        TooLarge { file: String, bytes: usize, limit: usize } {
            display("{file} has {bytes} bytes, the limit of an object in the store is {limit}; move the settings of single sites to their overlays")
        }
        /// A stored object is malformed.
        Corrupt { reason: String } {
            display("could not read the stored configuration: {reason}")
        }
    }
}

/// Formats conflicting fields, one per line.
fn conflict_lines(in_force: Generation, conflicts: &[MergeConflict]) -> String {
    let lines: Vec<String> = conflicts.iter().map(ToString::to_string).collect();
    format!(
        "concurrent edits up to generation {in_force} changed the same fields:\n{}",
        lines.join("\n")
    )
}

/// Formats the problems of an invalid deployment.
fn invalid_lines(merged_with: Option<Generation>, cause: &crate::Error) -> String {
    match merged_with {
        None => cause.to_string(),
        Some(generation) => {
            format!("the edit is invalid when merged with generation {generation}:\n{cause}")
        }
    }
}

impl Error {
    pub(crate) fn outcome_unknown(reason: impl Into<String>) -> Self {
        ErrorKind::OutcomeUnknown {
            reason: reason.into(),
        }
        .into()
    }

    pub(crate) fn conflict(in_force: Generation, conflicts: Vec<MergeConflict>) -> Self {
        ErrorKind::MergeConflict {
            in_force,
            conflicts,
        }
        .into()
    }

    pub(crate) fn invalid(merged_with: Option<Generation>, cause: crate::Error) -> Self {
        ErrorKind::Invalid { merged_with, cause }.into()
    }

    pub(crate) fn unknown_origin(from: Generation, in_force: Generation) -> Self {
        ErrorKind::UnknownOrigin { from, in_force }.into()
    }

    pub(crate) fn contended() -> Self {
        ErrorKind::Contended.into()
    }

    pub(crate) fn too_large(file: impl Into<String>, bytes: usize, limit: usize) -> Self {
        ErrorKind::TooLarge {
            file: file.into(),
            bytes,
            limit,
        }
        .into()
    }

    pub(crate) fn corrupt(reason: impl Into<String>) -> Self {
        ErrorKind::Corrupt {
            reason: reason.into(),
        }
        .into()
    }

    /// Returns whether this call may have put the edit in force.
    ///
    /// The result is about this call only. If an earlier call with the same edit ended without a
    /// response, its outcome is known once a call succeeds, or fails with an error that is not
    /// [transient](Self::is_transient).
    #[must_use]
    pub fn outcome(&self) -> CallOutcome {
        match self.kind {
            ErrorKind::OutcomeUnknown { .. } => CallOutcome::Unknown,
            _ => CallOutcome::NotDone,
        }
    }

    /// Returns whether a retry of the same edit may succeed.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(
            self.kind,
            ErrorKind::Store { .. } | ErrorKind::OutcomeUnknown { .. } | ErrorKind::Contended
        )
    }

    /// Returns whether the edit is refused because of edits that others made in the meantime.
    #[must_use]
    pub fn is_caused_by_other_edits(&self) -> bool {
        match &self.kind {
            ErrorKind::MergeConflict { .. } | ErrorKind::UnknownOrigin { .. } => true,
            ErrorKind::Invalid { merged_with, .. } => merged_with.is_some(),
            _ => false,
        }
    }

    /// Returns the conflicting fields; empty for other kinds of errors.
    #[must_use]
    pub fn conflicts(&self) -> &[MergeConflict] {
        match &self.kind {
            ErrorKind::MergeConflict { conflicts, .. } => conflicts,
            _ => &[],
        }
    }
}

impl From<carawayrill_store::Error> for Error {
    fn from(cause: carawayrill_store::Error) -> Self {
        ErrorKind::Store { cause }.into()
    }
}
