//! The interface of request serving to ownership: permits to send, and reports of servers.

use std::fmt::Debug;

use carawayrill_core::id::ShardId;
use carawayrill_core::ownership::home::Denial;
use carawayrill_core::ownership::home::Permit;
use carawayrill_core::time::Time;

use crate::home::ownership::OwnershipDriver;
use crate::home::ownership::ServerReport;

/// Issues permits to send for a shard, and provides the latest reports of servers.
///
/// Tests implement it without the ownership table.
pub trait Authority: Debug + Send + Sync {
    /// Returns the permit to send requests of a shard to its owner.
    ///
    /// # Errors
    ///
    /// Fails if this router may not send for the shard now.
    fn permit(&self, now: Time, shard: &ShardId) -> Result<Permit, Denial>;

    /// Checks again, directly before the send, that a permit is valid.
    ///
    /// # Errors
    ///
    /// Fails if the permit is no longer valid.
    fn confirm(&self, now: Time, permit: &Permit) -> Result<(), Denial>;

    /// Returns the latest reports of the servers.
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
