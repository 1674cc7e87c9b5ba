//! The border to ownership: who may send for a shard, and what servers say of themselves.

use std::fmt::Debug;

use carawayrill_core::id::ShardId;
use carawayrill_core::ownership::home::Denial;
use carawayrill_core::ownership::home::Permit;
use carawayrill_core::time::Time;

use crate::home::ownership::OwnershipDriver;
use crate::home::ownership::ServerReport;

/// Says who may send for a shard, and what servers say of themselves.
pub trait Authority: Debug + Send + Sync {
    /// Finds the owner of a shard.
    ///
    /// # Errors
    ///
    /// Fails if this router may not send for the shard now.
    fn permit(&self, now: Time, shard: &ShardId) -> Result<Permit, Denial>;

    /// Checks a permit directly before the send.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    fn confirm(&self, now: Time, permit: &Permit) -> Result<(), Denial>;

    /// Returns what the servers said of themselves last.
    fn server_reports(&self) -> Vec<ServerReport>;
}

impl Authority for OwnershipDriver {
    fn permit(&self, now: Time, shard: &ShardId) -> Result<Permit, Denial> {
        Self::permit(self, now, shard)
    }

    fn confirm(&self, now: Time, permit: &Permit) -> Result<(), Denial> {
        Self::confirm(self, now, permit)
    }

    fn server_reports(&self) -> Vec<ServerReport> {
        Self::server_reports(self)
    }
}
