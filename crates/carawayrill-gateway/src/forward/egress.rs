//! Applies the share of requests that leave the region to the choice of a server.

use std::collections::HashMap;

use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::egress::choice;
use carawayrill_core::direct::egress::choice::Scope;
use carawayrill_core::direct::priority::reserve::Reserve;
use carawayrill_core::id::RegionId;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;

use super::Forwarder;
use crate::state::Tables;

impl Forwarder<'_> {
    /// Chooses among the candidates by the shares that the granter has sent. Without any that are
    /// recent enough, all candidates are compared at once.
    pub(super) fn choose_with_egress(
        &self,
        tables: &mut Tables,
        candidates: &[Candidate],
        profile: &RequestProfile,
        reserve: &Reserve,
        idle_ms: f64,
        now: Time,
    ) -> Choice {
        let matched = &self.request.matched;
        let shares = tables.egress.facts.get(&matched.service, now);
        let Some(shares) = shares.map(<[_]>::to_vec) else {
            return self.choose_candidate(
                tables,
                candidates,
                profile,
                reserve,
                idle_ms,
                Scope::Any,
            );
        };
        // The share is one of the requests of routes without homes.
        let target = if matched.route.homes.is_restricted() {
            None
        } else {
            choice::draw(&shares, &mut tables.rng).cloned()
        };
        let regions: HashMap<ServerId, &RegionId> = candidates
            .iter()
            .filter_map(|candidate| {
                let server = tables.servers.get(&candidate.server)?;
                let region = self.shared.cfg.regions.get(&server.data_centre)?;
                Some((candidate.server.clone(), region))
            })
            .collect();
        let region = |candidate: &Candidate| regions.get(&candidate.server).copied();
        choice::choose(
            candidates,
            &shares,
            target.as_ref(),
            region,
            |subset, scope| self.choose_candidate(tables, subset, profile, reserve, idle_ms, scope),
        )
    }
}
