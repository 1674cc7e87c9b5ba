//! The state of a granter over all keyed services.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::demand::KeyDemand;
use carawayrill_core::direct::egress::table::EgressTable;
use carawayrill_core::direct::granter::Action;
use carawayrill_core::direct::granter::Config;
use carawayrill_core::direct::granter::Granter;
use carawayrill_core::direct::granter::Inputs;
use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::limit::FrontShare;
use carawayrill_core::direct::limit::LimitDivision;
use carawayrill_core::direct::reach::Peer;
use carawayrill_core::direct::rebalance::Capacities;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use compact_str::CompactString;

use super::Report;
use super::capacity::capacities;
use super::quarantine::StoredState;
use super::restore::StoredRecords;
use crate::spans::PublishedTable;
use crate::spans::TablePosition;
use crate::state::Tables;

/// The time constant of the moving average of demand by key.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1_200);
/// The interval at which reports are added to the moving average of demand.
const DEMAND_INTERVAL: Duration = Duration::from_millis(150);
/// How long the number of listed servers must stay the same before keys are first assigned.
const FIRST_ASSIGNMENT_QUIET_TIME: Duration = Duration::from_millis(1_800);
/// The maximum wait before keys are first assigned.
const FIRST_ASSIGNMENT_MAX_WAIT: Duration = Duration::from_millis(4_500);
/// How long a front counts as alive after its last report.
const FRONT_TTL: Duration = Duration::from_secs(2);

/// A front that sends reports.
#[derive(Debug)]
pub(super) struct ReportingFront {
    last_report: Time,
    pub(super) cores: f64,
    peer: Option<Peer>,
    serves_for_others: bool,
}

/// What a granter has decided, and what it decides by.
#[derive(Debug)]
pub(super) struct State {
    pub(super) stored: StoredRecords,
    pub(super) quarantine: StoredState,
    pub(super) granters: BTreeMap<ServiceId, Granter>,
    /// The number of listed servers of services without spans, and since when it is unchanged.
    listed_servers: BTreeMap<ServiceId, (usize, Time)>,
    demand: BTreeMap<ServiceId, KeyDemand>,
    /// The service time of each server in milliseconds, by reporting front.
    pub(super) service_times: HashMap<ServerId, HashMap<CompactString, f64>>,
    /// The requests that leave their region.
    pub(super) egress: EgressTable,
    pub(super) fronts: HashMap<CompactString, ReportingFront>,
    /// The number of changes of the fronts that serve requests of others.
    pub(super) peer_changes: u64,
    /// The limits of servers, and what the fronts want to send them.
    limits: LimitDivision,
    /// The capacity of the servers of each keyed service.
    capacities: BTreeMap<ServiceId, Capacities>,
    /// When the last round of decisions began.
    pub(super) decided_at: Time,
    /// When the demand and the capacities were last brought up to date.
    demand_advanced_at: Time,
    pub(super) published_at: Time,
    /// The number of the last published change of requests that crash servers.
    pub(super) published_crashes: u64,
    pub(super) published: BTreeMap<ServiceId, Arc<PublishedTable>>,
    pub(super) store_unreachable: bool,
    pub(super) stopping: bool,
}

impl State {
    /// Creates the state of a granter that has decided nothing. `known_fronts` is the number of fronts
    /// that this front knew before it became the granter.
    pub(super) fn new(stored: StoredRecords, known_fronts: u32, now: Time) -> Self {
        Self {
            stored,
            quarantine: StoredState::default(),
            granters: BTreeMap::new(),
            listed_servers: BTreeMap::new(),
            demand: BTreeMap::new(),
            service_times: HashMap::new(),
            egress: EgressTable::new(now),
            fronts: HashMap::new(),
            peer_changes: 0,
            limits: LimitDivision::new(known_fronts, now),
            capacities: BTreeMap::new(),
            decided_at: now,
            demand_advanced_at: Time::default(),
            published_at: now,
            published_crashes: 0,
            published: BTreeMap::new(),
            store_unreachable: false,
            stopping: false,
        }
    }

    /// Adds the report of a front.
    pub(super) fn add_report(&mut self, report: Report, now: Time) {
        self.add_front(&report, now);
        for (service, keys) in report.demand {
            let demand = self
                .demand
                .entry(service)
                .or_insert_with(|| KeyDemand::new(DEMAND_TIME_CONSTANT));
            for (key, requests) in keys {
                demand.add(key, requests);
            }
        }
        for (server, service_ms) in report.service_times {
            let by_front = self.service_times.entry(server).or_default();
            by_front.insert(report.front.clone(), service_ms);
        }
        for limit in &report.limits {
            self.limits.add_report(&report.front, limit, now);
        }
    }

    fn add_front(&mut self, report: &Report, now: Time) {
        let known = self.fronts.get(&report.front);
        let served_for_others = known.is_some_and(|known| known.serves_for_others);
        let known_peer = known.and_then(|known| known.peer.clone());
        let peer = report.peer.clone().or_else(|| known_peer.clone());
        if peer != known_peer || report.serves_for_others != served_for_others {
            self.peer_changes += 1;
        }
        let front = ReportingFront {
            last_report: now,
            cores: report.cores,
            peer,
            serves_for_others: report.serves_for_others,
        };
        self.fronts.insert(report.front.clone(), front);
    }

    /// Returns the fronts that serve requests that others can't serve.
    pub(super) fn serving_fronts(&self) -> impl Iterator<Item = &Peer> + Clone {
        let fronts = self.fronts.values().filter(|front| front.serves_for_others);
        fronts.filter_map(|front| front.peer.as_ref())
    }

    /// Returns the shares of a front in the limits of servers.
    pub(super) fn shares_of(&self, front: &str, now: Time) -> Vec<FrontShare> {
        let fronts = u32::try_from(self.fronts.len()).unwrap_or(u32::MAX);
        self.limits.shares_of(front, fronts, now)
    }

    /// Removes the fronts that have stopped sending reports.
    pub(super) fn remove_silent_fronts(&mut self, now: Time) {
        let before = self.fronts.len();
        self.fronts
            .retain(|_, front| now.since(front.last_report) < FRONT_TTL);
        if self.fronts.len() < before {
            self.peer_changes += 1;
        }
        self.limits.expire(now);
    }

    /// Creates the granters of new keyed services, and removes those of services that are gone.
    pub(super) fn update_granters(
        &mut self,
        tables: &Tables,
        cfg: Config,
        now: Time,
        started: Time,
    ) {
        let is_read = tables.servers_read && tables.evacuations.is_read();
        let Some(manifest) = tables.manifest.as_ref().filter(|_| is_read) else {
            return;
        };
        let keyed = |service: &ServiceId| manifest.service(service).is_some_and(|one| one.keyed);
        self.granters.retain(|service, _| keyed(service));
        for service in manifest.services.iter().filter(|service| service.keyed) {
            let name = &service.name;
            if self.granters.contains_key(name) {
                continue;
            }
            let stored = self.stored.take(name);
            let is_new = stored.record.is_none();
            if is_new && !self.may_assign_first(tables, name, now, started) {
                continue;
            }
            let granter = Granter::new(name.clone(), cfg, stored, now);
            self.granters.insert(name.clone(), granter);
            self.demand
                .entry(name.clone())
                .or_insert_with(|| KeyDemand::new(DEMAND_TIME_CONSTANT));
        }
    }

    /// Returns whether the list of a service's servers seems complete.
    fn may_assign_first(
        &mut self,
        tables: &Tables,
        name: &ServiceId,
        now: Time,
        started: Time,
    ) -> bool {
        let count = tables.servers.ready_servers(name).count();
        let (previous_count, since) = *self.listed_servers.get(name).unwrap_or(&(0, now));
        if count != previous_count {
            self.listed_servers.insert(name.clone(), (count, now));
            return false;
        }
        let quiet = now.since(since) >= FIRST_ASSIGNMENT_QUIET_TIME;
        count > 0 && (quiet || now.since(started) >= FIRST_ASSIGNMENT_MAX_WAIT)
    }

    /// Brings the demand and the capacities up to date.
    pub(super) fn advance_demand(&mut self, tables: &Tables, now: Time) {
        let elapsed = now.since(self.demand_advanced_at);
        if elapsed < DEMAND_INTERVAL {
            return;
        }
        self.demand_advanced_at = now;
        for service in self.granters.keys() {
            let excluded = tables.excluded_from_keys(service);
            let capacities = capacities(service, tables, &excluded, &self.service_times, now);
            self.capacities.insert(service.clone(), capacities);
        }
        for demand in self.demand.values_mut() {
            demand.advance(elapsed);
        }
    }

    /// Returns the actions of all services that are due.
    pub(super) fn decide(&mut self, tables: &Tables, now: Time) -> Vec<(ServiceId, Action)> {
        let mut actions = Vec::new();
        for (service, granter) in &mut self.granters {
            let excluded = tables.excluded_from_keys(service);
            let Some(demand) = self.demand.get(service) else {
                continue;
            };
            let Some(capacities) = self.capacities.get(service) else {
                continue;
            };
            let inputs = Inputs {
                now,
                servers: &tables.servers,
                demand,
                capacities,
                excluded: &excluded,
                store_unreachable: self.store_unreachable,
                stopping: self.stopping,
            };
            let decided = granter.tick(&inputs);
            actions.extend(decided.into_iter().map(|action| (service.clone(), action)));
        }
        actions
    }

    /// Returns whether there are changes that are not published.
    pub(super) fn has_unpublished_changes(&self) -> bool {
        let published = |service: &ServiceId| {
            self.published
                .get(service)
                .map(|table| table.position().change)
        };
        self.granters
            .iter()
            .any(|(service, granter)| published(service) != Some(granter.change_count()))
    }

    /// Rebuilds the published tables that have changed.
    pub(super) fn refresh_published(&mut self, lease: StoredVersion) {
        self.published
            .retain(|service, _| self.granters.contains_key(service));
        for (service, granter) in &self.granters {
            let previous = self.published.get(service);
            let change = granter.change_count();
            if !granter.is_confirmed()
                || previous.is_some_and(|one| one.position().change == change)
            {
                continue;
            }
            let position = TablePosition {
                granter: lease,
                change,
            };
            let previous = previous.map(Arc::as_ref);
            let table =
                PublishedTable::new(granter.version(), position, &granter.spans(), previous);
            self.published.insert(service.clone(), Arc::new(table));
        }
    }
}
