//! The configuration in force, as one process sees it.

use std::sync::Arc;

use carawayrill_core::data;
use carawayrill_core::id::Generation;
use carawayrill_core::time::WallTime;
use carawayrill_store::port::ObjectStore;
use compact_str::CompactString;

use crate::ConfigFiles;
use crate::accept::Error;
use crate::accept::head::Head;
use crate::accept::history::History;
use crate::deployment::Deployment;

data! {
    /// A configuration that is or was in force.
    pub struct AcceptedConfig {
        /// Number of the generation.
        pub generation: Generation,
        /// Merged and checked deployment, with the same number.
        pub deployment: Deployment,
        /// Name of the operator that proposed the edit.
        pub by: CompactString,
        /// Time of acceptance, by the clock of the proposer.
        pub at: WallTime,
    }
}

/// The highest generation that a process has seen. It never decreases.
#[derive(Debug, Default)]
pub struct ConfigView {
    current: Option<Arc<AcceptedConfig>>,
    history: History,
}

impl ConfigView {
    /// Returns the configuration in force in this process.
    #[must_use]
    pub fn current(&self) -> Option<Arc<AcceptedConfig>> {
        self.current.clone()
    }

    /// Returns the generation in force in this process; 0 if there is none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        let current = self.current.as_ref();
        current.map_or(Generation(0), |accepted| accepted.generation)
    }

    /// Replaces the configuration by `accepted`, for example one from a peer, if that has a higher
    /// generation. Returns whether it was replaced.
    pub fn replace_if_newer(&mut self, accepted: AcceptedConfig) -> bool {
        if accepted.generation <= self.generation() {
            return false;
        }
        self.current = Some(Arc::new(accepted));
        true
    }

    /// Reads the store, and adopts its generation if that is higher. Cached parts are not read
    /// again. Returns whether the configuration was replaced.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or the stored configuration is not valid. The process then
    /// keeps the configuration that it has.
    pub async fn refresh(&mut self, store: &dyn ObjectStore) -> Result<bool, Error> {
        let Some((_, head)) = self.history.head(store).await? else {
            return Ok(false);
        };
        if head.generation <= self.generation() {
            return Ok(false);
        }
        let files = self.history.files_of(store, &head).await?;
        self.history.retain_parts_of(&head);
        Ok(self.replace_if_newer(accepted(&head, &files)?))
    }
}

/// Reads the configuration in force; `None` if there is none yet.
///
/// # Errors
///
/// Fails if the store is unavailable or the stored configuration is not valid.
pub async fn fetch(store: &dyn ObjectStore) -> Result<Option<AcceptedConfig>, Error> {
    match fetch_files(store).await? {
        Some((head, files)) => accepted(&head, &files).map(Some),
        None => Ok(None),
    }
}

/// Reads the text of the files in force; `None` if there are none yet.
///
/// # Errors
///
/// Fails if the store is unavailable or the stored objects can't be read.
pub async fn fetch_files(store: &dyn ObjectStore) -> Result<Option<(Head, ConfigFiles)>, Error> {
    let mut history = History::default();
    match history.head(store).await? {
        Some((_, head)) => {
            let files = history.files_of(store, &head).await?;
            Ok(Some((head, files)))
        }
        None => Ok(None),
    }
}

/// Checks the files of a generation.
fn accepted(head: &Head, files: &ConfigFiles) -> Result<AcceptedConfig, Error> {
    let loaded = files.check().map_err(|err| Error::invalid(None, err))?;
    let generation = head.generation;
    Ok(AcceptedConfig {
        generation,
        deployment: Deployment {
            generation,
            ..loaded.deployment
        },
        by: head.by.clone(),
        at: head.at,
    })
}
