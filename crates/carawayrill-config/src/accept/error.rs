//! The error of this layer.

use carawayrill_core::id::Generation;
use carawayrill_core::layer_error;
use carawayrill_store::CallOutcome;
use quick_error::quick_error;

use crate::accept::merge::Clash;

layer_error! {
    /// An edit that was not accepted, or a configuration that can't be read.
    pub Error(ErrorKind)
}

quick_error! {
    /// What went wrong. Private, so that kinds can be added without breaking callers.
    #[derive(Debug)]
    pub enum ErrorKind {
        /// The store failed; nothing was changed.
        Store { cause: carawayrill_store::Error } {
            display("the store: {cause}")
        }
        /// The edit was sent to the store, and it is not known whether it took effect.
        Unsettled { reason: String } {
            display("it is not known whether the edit was accepted ({reason}); propose the same edit again to find out, it takes effect at most once")
        }
        /// Others changed the same fields meanwhile.
        Clash { in_force: Generation, clashes: Vec<Clash> } {
            display("{}", clash_lines(*in_force, clashes))
        }
        /// The edit, alone or together with those of others, is no right deployment.
        Wrong { merged_with: Option<Generation>, cause: crate::Error } {
            display("{}", wrong_lines(*merged_with, cause))
        }
        /// The edit does not start from a generation that the store knows.
        Origin { from: Generation, in_force: Generation } {
            display("the files start from generation {from}, the store has {in_force} in force and no way back to {from}; fetch the files in force and edit those")
        }
        /// Others changed the head at each attempt; nothing was changed.
        Raced {
            display("others changed the configuration at each attempt; nothing was changed, try again")
        }
        /// A file does not fit into one object of the store.
        TooLarge { file: String, bytes: usize, limit: usize } {
            display("{file} has {bytes} bytes, the store takes {limit} an object; move what concerns one site to its overlay")
        }
        /// An object of the store does not have the agreed form.
        Corrupt { reason: String } {
            display("the stored configuration can't be read: {reason}")
        }
    }
}

/// Writes clashing fields, one a line.
fn clash_lines(in_force: Generation, clashes: &[Clash]) -> String {
    let lines: Vec<String> = clashes.iter().map(ToString::to_string).collect();
    format!(
        "others changed the same fields up to generation {in_force}:\n{}",
        lines.join("\n")
    )
}

/// Writes the problems of a wrong deployment.
fn wrong_lines(merged_with: Option<Generation>, cause: &crate::Error) -> String {
    match merged_with {
        None => cause.to_string(),
        Some(generation) => {
            format!("together with generation {generation} the edit is wrong:\n{cause}")
        }
    }
}

impl Error {
    pub(crate) fn unsettled(reason: impl Into<String>) -> Self {
        ErrorKind::Unsettled {
            reason: reason.into(),
        }
        .into()
    }

    pub(crate) fn clash(in_force: Generation, clashes: Vec<Clash>) -> Self {
        ErrorKind::Clash { in_force, clashes }.into()
    }

    pub(crate) fn wrong(merged_with: Option<Generation>, cause: crate::Error) -> Self {
        ErrorKind::Wrong { merged_with, cause }.into()
    }

    pub(crate) fn origin(from: Generation, in_force: Generation) -> Self {
        ErrorKind::Origin { from, in_force }.into()
    }

    pub(crate) fn raced() -> Self {
        ErrorKind::Raced.into()
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

    /// Tells whether this call surely did not bring the edit into force. An earlier call with the
    /// same edit that ended without an answer is settled by a call that succeeds, or fails for
    /// another reason than a [passing](Self::is_passing) one.
    #[must_use]
    pub fn fate(&self) -> CallOutcome {
        match self.kind {
            ErrorKind::Unsettled { .. } => CallOutcome::Unknown,
            _ => CallOutcome::NotDone,
        }
    }

    /// Tells whether the cause may pass by itself.
    #[must_use]
    pub fn is_passing(&self) -> bool {
        matches!(
            self.kind,
            ErrorKind::Store { .. } | ErrorKind::Unsettled { .. } | ErrorKind::Raced
        )
    }

    /// Tells whether the edit is refused because of what others brought in meanwhile.
    #[must_use]
    pub fn is_from_others(&self) -> bool {
        match &self.kind {
            ErrorKind::Clash { .. } | ErrorKind::Origin { .. } => true,
            ErrorKind::Wrong { merged_with, .. } => merged_with.is_some(),
            _ => false,
        }
    }

    /// Returns the fields that others changed too; empty for other errors.
    #[must_use]
    pub fn clashes(&self) -> &[Clash] {
        match &self.kind {
            ErrorKind::Clash { clashes, .. } => clashes,
            _ => &[],
        }
    }
}

impl From<carawayrill_store::Error> for Error {
    fn from(cause: carawayrill_store::Error) -> Self {
        ErrorKind::Store { cause }.into()
    }
}
