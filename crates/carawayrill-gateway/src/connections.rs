//! This front's shares of the connections that servers accept.

use carawayrill_core::id::ServiceId;

use crate::state::Tables;

/// A front keeps at most 1/`IDLE_CONNECTION_DIVISOR` of its connections to a server idle.
const IDLE_CONNECTION_DIVISOR: u32 = 3;
/// The minimum number of connections that a front may open to a server.
const MIN_CONNECTIONS: u32 = 2;

impl Tables {
    /// Returns this front's share of the connections that each server of a service accepts.
    #[must_use]
    pub fn connection_share(&self, service: &ServiceId) -> u32 {
        let max = self
            .manifest
            .as_ref()
            .and_then(|manifest| manifest.service(service))
            .map_or(u32::MAX, |service| service.max_connections);
        (max / self.fronts.get()).max(MIN_CONNECTIONS)
    }

    /// Returns the maximum number of idle connections that this front keeps to each server of a
    /// service.
    #[must_use]
    pub fn max_idle_connections(&self, service: &ServiceId) -> u32 {
        (self.connection_share(service) / IDLE_CONNECTION_DIVISOR).max(1)
    }
}
