//! Conversion of a deployment's settings to those of the ownership tables.

use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::ownership::limits::Policy;
use carawayrill_core::time::millis;

use crate::deployment::OnStoreOutage;
use crate::deployment::Service;
use crate::deployment::Timing;

impl From<&Timing> for Limits {
    fn from(timing: &Timing) -> Self {
        Self {
            grant_ttl: millis(timing.grant_ttl.0),
            renew_every: millis(timing.renew_every.0),
            check_every: millis(timing.check_every.0),
            server_silence: millis(timing.server_silence.0),
            router_silence: millis(timing.router_silence.0),
            drift_ppm: u64::from(timing.drift_ppm),
            ..Self::default()
        }
    }
}

impl Service {
    /// Returns the settings of this service that the ownership tables use.
    #[must_use]
    pub fn policy(&self, timing: &Timing) -> Policy {
        let validity = match self.on_store_outage {
            OnStoreOutage::Hold(limit) => limit.0,
            OnStoreOutage::Stop => timing.authority.0,
        };
        Policy {
            validity: millis(validity),
            fencing: self.fencing,
            ranges: self.shards,
        }
    }
}
