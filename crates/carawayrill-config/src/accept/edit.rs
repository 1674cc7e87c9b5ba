//! Edits that operators propose, and their outcomes.

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
    /// Generation that the files are based on; 0 if there is none yet.
    pub from: Generation,
    /// The proposed files.
    pub files: ConfigFiles,
    /// Name of the operator that proposes the edit.
    pub by: CompactString,
}

impl Edit {
    /// Returns the digest that identifies this edit. A proposer whose response was lost uses it to
    /// find out whether the edit was accepted.
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

/// The outcome of a proposed edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit was accepted.
    Accepted {
        /// Generation that contains the edit.
        generation: Generation,
        /// Files of this generation.
        files: ConfigFiles,
        /// Whether the files also contain concurrent edits.
        merged: bool,
    },
    /// The files are already in force.
    Unchanged {
        /// Generation in force.
        generation: Generation,
    },
}

impl EditOutcome {
    /// Returns the generation that contains the edit.
    #[must_use]
    pub fn generation(&self) -> Generation {
        match self {
            Self::Accepted { generation, .. } | Self::Unchanged { generation } => *generation,
        }
    }
}

/// Decides how long to wait between attempts to reach the store, and when to stop.
#[async_trait]
pub trait RetryPolicy: Debug + Send + Sync {
    /// Waits after attempt `attempt`, counted from 1. Returns false to stop retrying.
    async fn wait(&self, attempt: u32) -> bool;
}
