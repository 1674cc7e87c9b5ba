//! What a front knows of the shares that the granter has derived.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::RegionId;
use crate::id::ServiceId;
use crate::time::Time;

/// The age from which a share is not used.
pub const MAX_AGE: Duration = Duration::from_secs(2);
/// The maximum number of shares in one update.
pub const MAX_SHARES: usize = 256;

/// The share of a service's requests that leaves for one region.
#[derive(Debug, Clone, PartialEq)]
pub struct EgressShare {
    /// The service.
    pub service: ServiceId,
    /// The receiving region.
    pub region: RegionId,
    /// From 0 to 1, of the requests of routes without homes.
    pub share: f64,
    /// Whether the link to the region has no capacity for more.
    pub link_full: bool,
    /// Whether the region has more requests of its own than its servers can run.
    pub region_full: bool,
}

/// The shares that apply at one front.
#[derive(Debug, Default)]
pub struct EgressFacts {
    services: HashMap<ServiceId, (Time, Vec<EgressShare>)>,
}

impl EgressFacts {
    /// Replaces the shares of the services that are named. `known` is a time at which the granter
    /// had not yet made the update. Others remain until they are too old, also while a new granter
    /// has no shares yet.
    pub fn update(&mut self, shares: &[EgressShare], known: Time, now: Time) {
        self.services
            .retain(|_, (known, _)| now.since(*known) < MAX_AGE);
        let mut services: HashMap<ServiceId, Vec<EgressShare>> = HashMap::new();
        for share in shares.iter().take(MAX_SHARES) {
            let of_service = services.entry(share.service.clone()).or_default();
            of_service.push(share.clone());
        }
        for (service, shares) in services {
            self.services.insert(service, (known, shares));
        }
    }

    /// Returns the shares of a service, unless there are none or they are too old.
    #[must_use]
    pub fn get(&self, service: &ServiceId, now: Time) -> Option<&[EgressShare]> {
        let (known, shares) = self.services.get(service)?;
        (now.since(*known) < MAX_AGE).then_some(shares.as_slice())
    }
}
