//! What a daemon holds of the configuration.

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
    /// A configuration that is, or was, in force.
    pub struct AcceptedConfig {
        /// Its number.
        pub generation: Generation,
        /// The merged and checked whole, with the same number.
        pub deployment: Deployment,
        /// Who brought it in.
        pub by: CompactString,
        /// When it was accepted.
        pub at: WallTime,
    }
}

/// The highest generation that a process has seen. It never goes back.
#[derive(Debug, Default)]
pub struct ConfigView {
    current: Option<Arc<AcceptedConfig>>,
    history: History,
}

impl ConfigView {
    /// Returns the configuration in force here.
    #[must_use]
    pub fn current(&self) -> Option<Arc<AcceptedConfig>> {
        self.current.clone()
    }

    /// Returns the number of the configuration in force here; 0 if there is none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        let current = self.current.as_ref();
        current.map_or(Generation(0), |accepted| accepted.generation)
    }

    /// Takes a configuration, as from a peer. Returns false, and changes nothing, unless it is
    /// higher than the one in force here.
    pub fn replace_if_newer(&mut self, accepted: AcceptedConfig) -> bool {
        if accepted.generation <= self.generation() {
            return false;
        }
        self.current = Some(Arc::new(accepted));
        true
    }

    /// Reads the store and takes a higher generation if there is one; parts that are known are not
    /// read again. Returns whether there was.
    ///
    /// # Errors
    ///
    /// Fails if the store does not serve or the stored configuration can't be used. What was in
    /// force here stays.
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
/// Fails if the store does not serve or the stored configuration can't be used.
pub async fn fetch(store: &dyn ObjectStore) -> Result<Option<AcceptedConfig>, Error> {
    match fetch_files(store).await? {
        Some((head, files)) => accepted(&head, &files).map(Some),
        None => Ok(None),
    }
}

/// Reads the files of the configuration in force, as written.
///
/// # Errors
///
/// Fails if the store does not serve or the stored objects can't be read.
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

/// Checks the parts of a generation.
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
