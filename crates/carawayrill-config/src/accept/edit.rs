//! What an operator proposes and what comes of it.

use std::fmt::Debug;

use async_trait::async_trait;
use carawayrill_core::id::Generation;
use compact_str::CompactString;

use crate::ConfigFiles;
use crate::accept::head::Digest;
use crate::accept::head::digests_of;

/// A proposed configuration.
#[derive(Debug, Clone)]
pub struct Edit {
    /// The generation that the files were derived from; 0 for the first one.
    pub from: Generation,
    /// The files.
    pub files: ConfigFiles,
    /// Who proposes it.
    pub by: CompactString,
}

impl Edit {
    /// Returns the digest that identifies this edit. Proposing it again after a lost answer finds
    /// what became of it.
    #[must_use]
    pub fn id(&self) -> Digest {
        let (base, sites) = digests_of(&self.files);
        let sites = sites
            .iter()
            .map(|(site, digest)| format!(" {site}={digest}"));
        let sites: String = sites.collect();
        let text = format!("{} {} {base}{sites}", self.from, self.by);
        Digest::of(text.as_bytes())
    }
}

/// What came of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// It is accepted.
    Accepted {
        /// The generation that holds it.
        generation: Generation,
        /// The files of this generation.
        files: ConfigFiles,
        /// Whether edits of others are in these files too.
        merged: bool,
    },
    /// It is what is in force already.
    Unchanged {
        /// The generation in force.
        generation: Generation,
    },
}

impl EditOutcome {
    /// Returns the generation that holds the edit.
    #[must_use]
    pub fn generation(&self) -> Generation {
        match self {
            Self::Accepted { generation, .. } | Self::Unchanged { generation } => *generation,
        }
    }
}

/// Waits between two attempts on the store.
#[async_trait]
pub trait Backoff: Debug + Send + Sync {
    /// Waits after attempt number `attempt`, from 1. Returns false if there shall be no other.
    async fn wait(&self, attempt: u32) -> bool;
}
