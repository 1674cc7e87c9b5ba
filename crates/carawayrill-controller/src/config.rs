//! Sources of the deployment configuration.

use std::fmt::Debug;
use std::sync::Arc;

use async_trait::async_trait;
use carawayrill_config::accept;
use carawayrill_config::deployment::Deployment;
use carawayrill_store::port::ObjectStore;

use crate::Error;

/// A source of the configuration in force.
#[async_trait]
pub trait ConfigSource: Debug + Send + Sync {
    /// Reads the merged and checked configuration. Returns `None` if none has been accepted yet.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or the stored configuration is invalid.
    async fn read(&self) -> Result<Option<Deployment>, Error>;
}

/// Reads the configuration from the store.
#[derive(Debug, Clone)]
pub struct StoreConfig {
    /// The store.
    pub store: Arc<dyn ObjectStore>,
}

#[async_trait]
impl ConfigSource for StoreConfig {
    async fn read(&self) -> Result<Option<Deployment>, Error> {
        let accepted = accept::fetch(&*self.store).await.map_err(Error::config)?;
        Ok(accepted.map(|accepted| accepted.deployment))
    }
}
