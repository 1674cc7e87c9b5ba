//! What this front counts for the decision on cross-region egress, and what it knows of the shares.

use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::egress::facts::EgressFacts;
use carawayrill_core::direct::egress::facts::EgressShare;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;

use crate::clock;
use crate::state::Shared;
use crate::state::Tables;

/// The state of cross-region egress at one front.
#[derive(Debug)]
pub struct EgressState {
    enabled: bool,
    /// The shares that the granter has sent.
    pub facts: EgressFacts,
}

impl EgressState {
    /// Creates the state of a front without shares.
    #[must_use]
    pub fn new(enabled: bool) -> Self {
        Self {
            enabled,
            facts: EgressFacts::default(),
        }
    }
}

impl Tables {
    /// Returns whether the granter decides how many requests of a service leave their region.
    #[must_use]
    pub fn has_egress_shares(&self, service: &ServiceId) -> bool {
        let manifest = self.manifest.as_ref().filter(|_| self.egress.enabled);
        let service = manifest.and_then(|manifest| manifest.service(service));
        service.is_some_and(|service| !service.keyed)
    }

    /// Counts the bytes of a request and its response.
    pub fn count_bytes(&mut self, service: &ServiceId, bytes: usize) {
        if self.has_egress_shares(service) {
            let load = self.service_loads.entry(service.clone()).or_default();
            load.bytes += bytes as u64;
            load.responses += 1;
        }
    }
}

impl Shared {
    /// Counts the first send of a request if the server is in another region.
    pub(crate) fn count_first_send(&self, tables: &mut Tables, server: &Server) {
        if self.distance(&server.data_centre) != Distance::OtherRegion {
            return;
        }
        self.metrics.sent_away.inc();
        if tables.has_egress_shares(&server.service) {
            let load = tables.service_loads.entry(server.service.clone());
            load.or_default().sent_away += 1;
        }
    }

    /// Applies the shares in an update of the granter. `known` is a time at which it had not yet
    /// made the update.
    pub fn apply_egress(&self, shares: &[EgressShare], known: Time) {
        if self.cfg.region_egress.is_none() || shares.is_empty() {
            return;
        }
        self.tables()
            .egress
            .facts
            .update(shares, known, clock::now());
        for share in shares {
            let labels = [share.service.as_str(), share.region.as_str()];
            let gauge = self.metrics.egress_share.with_label_values(&labels);
            gauge.set(share.share);
        }
    }
}
