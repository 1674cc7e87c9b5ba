//! Applies what entries, responses and the granter say of cold servers.

use std::time::Duration;

use carawayrill_core::direct::cold::Origin;
use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::limit::ColdStatement;
use carawayrill_core::direct::limit::RequestRate;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use rand::RngExt;

use crate::clock;
use crate::state::Shared;
use crate::state::Tables;

/// The source of what the granter relays.
pub(crate) const GRANTER: &str = "granter";

impl Shared {
    /// Records that an incarnation of a server is cold for `cold_for` from now on. `source` is
    /// `entry`, `response` or `granter`.
    pub fn note_cold(
        &self,
        tables: &mut Tables,
        server: &ServerId,
        born: Born,
        cold_for: Duration,
        source: &str,
    ) {
        let origin = if source == GRANTER {
            Origin::Relayed
        } else {
            Origin::Server
        };
        let now = clock::now();
        let was_cold = !tables.cold.left(server, born, now).is_zero();
        let left = tables.cold.record(server, born, cold_for, origin, now);
        if !was_cold && !left.is_zero() {
            self.metrics.cold_periods.inc();
        }
        if let Some(load) = tables.loads.get_mut(server) {
            load.extend_cold(now + left);
        }
        if tables.limit_cold(server, born, left, now) {
            self.emit_limit(server, tables.limits.get(server, now), source);
        }
    }

    /// Limits the servers that are cold by the rates of a new manifest.
    pub fn apply_cold_rates(&self) {
        let now = clock::now();
        let mut tables = self.tables();
        let cold: Vec<(ServerId, Born, Duration)> = tables
            .cold
            .cold(now)
            .map(|(id, born, left)| (id.clone(), born, left))
            .collect();
        for (server, born, left) in cold {
            if tables.limit_cold(&server, born, left, now) {
                self.emit_limit(&server, tables.limits.get(&server, now), "manifest");
            }
        }
    }
}

impl Tables {
    /// Returns the requests a second that each cold server of a service takes.
    #[must_use]
    pub fn cold_rate(&self, service: &ServiceId) -> Option<RequestRate> {
        self.manifest.as_ref()?.service(service)?.cold_limit
    }

    /// Returns the time until a server is warm; zero if it is.
    #[must_use]
    pub fn cold_left(&self, server: &Server, now: Time) -> Duration {
        self.cold.left(&server.id, server.born, now)
    }

    /// Limits a listed server for the time until it is warm. Returns whether its limit has changed.
    fn limit_cold(&mut self, id: &ServerId, born: Born, left: Duration, now: Time) -> bool {
        let listed = self.servers.get(id).filter(|server| server.born == born);
        let rate = listed.and_then(|server| self.cold_rate(&server.service));
        let Some(rate) = rate.filter(|_| !left.is_zero()) else {
            return false;
        };
        let phase = self.rng.random_range(0.0..1.0);
        let cold = ColdStatement { rate, left };
        let fronts = self.fronts.get();
        self.limits.record_cold(id, born, cold, fronts, phase, now)
    }
}
