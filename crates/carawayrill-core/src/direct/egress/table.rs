//! The shares as the granter derives them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EgressConfig;
use super::MAX_UTILISATION;
use super::RegionCapacity;
use super::allocation::Flow;
use super::allocation::Links;
use super::allocation::Pair;
use super::allocation::RegionState;
use super::allocation::allocate;
use super::allocation::most_received;
use super::demand::RegionDemand;
use super::facts::EgressShare;
use super::facts::MAX_SHARES;
use crate::direct::service_load::ServiceLoad;
use crate::id::RegionId;
use crate::id::ServiceId;
use crate::time::Time;

/// The interval at which the shares change.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// The time after its start for which a granter has no shares: it does not know the demand yet. It is
/// shorter than the time for which fronts use the shares of the granter before it.
const WARM_UP: Duration = Duration::from_millis(1_200);
/// How fast the share of a region falls, per second. With 0.2, it swung by half with demand that
/// alternates every second.
const FALL_PER_SECOND: f64 = 0.05;
/// The excess over the share with which requests leave, from which the servers of a region count as
/// lost although they are listed. With 0.15, the sampling error at 100 requests per second
/// raised the share now and then.
const UNPLANNED_MARGIN: f64 = 0.2;
/// The change of a share that is logged.
const LOGGED_CHANGE: f64 = 0.05;

/// A service and what it can run in each region.
#[derive(Debug, Clone, Default)]
pub struct ServiceInputs {
    /// The shortest objective of its routes.
    pub objective: Duration,
    /// The shortest time limit of its routes.
    pub timeout: Duration,
    /// Its servers by region. A region without any has none that may be used.
    pub regions: BTreeMap<RegionId, RegionCapacity>,
}

/// A change of a share.
#[derive(Debug, Clone, PartialEq)]
pub struct EgressChange {
    /// The service.
    pub service: ServiceId,
    /// The region that the requests leave.
    pub from: RegionId,
    /// The region that receives them.
    pub to: RegionId,
    /// The new share.
    pub share: f64,
    /// The demand in the region that they leave, in requests per second.
    pub offered: f64,
    /// What the servers there can run, in requests per second.
    pub capacity: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Share {
    current: f64,
    logged: f64,
    link_full: bool,
    region_full: bool,
}

/// The demand and the shares of all unkeyed services.
#[derive(Debug)]
pub struct EgressTable {
    started: Time,
    updated: Time,
    demand: BTreeMap<ServiceId, BTreeMap<RegionId, RegionDemand>>,
    shares: BTreeMap<ServiceId, BTreeMap<Pair, Share>>,
}

impl EgressTable {
    /// Creates the table of a granter that has no reports yet.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            updated: now,
            demand: BTreeMap::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Adds what a front in a region has reported of a service.
    pub fn add_report(&mut self, region: &RegionId, service: &ServiceId, load: &ServiceLoad) {
        let regions = self.demand.entry(service.clone()).or_default();
        regions.entry(region.clone()).or_default().add(load);
    }

    /// Returns whether the shares are due for an update.
    #[must_use]
    pub fn is_due(&self, now: Time) -> bool {
        now.since(self.updated) >= UPDATE_INTERVAL
    }

    /// Derives the shares and returns those that have changed by more than 0.05 since they were last
    /// returned. Services that are not in `services` are forgotten.
    pub fn update(
        &mut self,
        services: &BTreeMap<ServiceId, ServiceInputs>,
        cfg: &EgressConfig,
        now: Time,
    ) -> Vec<EgressChange> {
        let elapsed = now.since(self.updated);
        self.updated = now;
        self.demand
            .retain(|service, _| services.contains_key(service));
        self.shares
            .retain(|service, _| services.contains_key(service));
        for demand in self.demand.values_mut().flat_map(BTreeMap::values_mut) {
            demand.advance(elapsed);
        }
        if now.since(self.started) < WARM_UP {
            return Vec::new();
        }
        let mut links = Links::default();
        let mut changes = Vec::new();
        for (service, inputs) in self.by_size(services) {
            changes.extend(self.update_service(service, inputs, cfg, &mut links, elapsed));
        }
        changes
    }

    /// Orders services by the size of their requests, as a link carries more of the small ones.
    fn by_size<'a>(
        &self,
        services: &'a BTreeMap<ServiceId, ServiceInputs>,
    ) -> Vec<(&'a ServiceId, &'a ServiceInputs)> {
        let size = |service: &ServiceId| {
            let regions = self.demand.get(service).into_iter().flatten();
            regions.map(|(_, one)| one.size_kib()).fold(0.0, f64::max)
        };
        let mut ordered: Vec<_> = services.iter().collect();
        ordered.sort_by(|one, other| size(one.0).total_cmp(&size(other.0)));
        ordered
    }

    fn update_service(
        &mut self,
        service: &ServiceId,
        inputs: &ServiceInputs,
        cfg: &EgressConfig,
        links: &mut Links,
        elapsed: Duration,
    ) -> Vec<EgressChange> {
        let demand = self.demand.entry(service.clone()).or_default();
        for region in inputs.regions.keys() {
            demand.entry(region.clone()).or_default();
        }
        let shares = self.shares.entry(service.clone()).or_default();
        let states: BTreeMap<RegionId, RegionState> = demand
            .iter()
            .map(|(region, demand)| {
                let planned = shares.iter().filter(|((from, _), _)| from == region);
                let planned: f64 = planned.map(|(_, share)| share.current).sum();
                let capacity = inputs.regions.get(region).copied().unwrap_or_default();
                let state = region_state(inputs, cfg, demand, &capacity, planned);
                (region.clone(), state)
            })
            .collect();
        let flows = allocate(&states, cfg, links);
        let held = held_flows(shares, demand, &states, &flows, elapsed);
        let mut changes = Vec::new();
        for from in demand.keys() {
            for to in inputs.regions.keys().filter(|to| *to != from) {
                let pair = (from.clone(), to.clone());
                let flow = flows.get(&pair).copied().unwrap_or_default();
                let kib = states.get(from).map_or(0.0, |one| one.size_kib);
                let held = held.get(&pair).copied().unwrap_or_default();
                let extra = links.take(cfg, &pair, (held - flow.rate).max(0.0), kib);
                let movable = demand.get(from).map_or(0.0, |one| one.movable);
                let share = shares.entry(pair).or_default();
                share.current = to_share(flow.rate + extra, movable);
                share.link_full = flow.link_full;
                share.region_full = states.get(to).is_some_and(|one| one.overload > 0.0);
                if (share.current - share.logged).abs() > LOGGED_CHANGE {
                    share.logged = share.current;
                    changes.push(EgressChange {
                        service: service.clone(),
                        from: from.clone(),
                        to: to.clone(),
                        share: share.current,
                        offered: demand.get(from).map_or(0.0, |one| one.offered),
                        capacity: states.get(from).map_or(0.0, |one| one.capacity),
                    });
                }
            }
        }
        shares.retain(|(_, to), _| inputs.regions.contains_key(to));
        changes
    }

    /// Returns the shares of the requests that fronts in a region accept.
    #[must_use]
    pub fn shares_of(&self, region: &RegionId) -> Vec<EgressShare> {
        let services = self.shares.iter().flat_map(|(service, shares)| {
            let of_region = shares.iter().filter(|((from, _), _)| from == region);
            of_region.map(|((_, to), share)| EgressShare {
                service: service.clone(),
                region: to.clone(),
                share: share.current,
                link_full: share.link_full,
                region_full: share.region_full,
            })
        });
        services.take(MAX_SHARES).collect()
    }
}

fn to_share(rate: f64, movable: f64) -> f64 {
    if movable > 0.0 {
        (rate / movable).clamp(0.0, 1.0)
    } else {
        0.0
    }
}

fn region_state(
    inputs: &ServiceInputs,
    cfg: &EgressConfig,
    demand: &RegionDemand,
    capacity: &RegionCapacity,
    planned: f64,
) -> RegionState {
    let size_kib = demand.size_kib();
    let leave_at = capacity.utilisation_to_leave(cfg, inputs.objective, inputs.timeout, size_kib);
    // Requests leave without being planned if no server at home answers them in time.
    let unplanned = demand.sent_away - planned * demand.movable;
    let unplanned = if unplanned > UNPLANNED_MARGIN * demand.offered {
        demand.sent_away
    } else {
        0.0
    };
    let beyond = |utilisation: f64| {
        let beyond = demand.offered - capacity.per_second * utilisation;
        beyond.max(unplanned).clamp(0.0, demand.movable)
    };
    RegionState {
        capacity: capacity.per_second,
        peak: demand.peak,
        overload: beyond(MAX_UTILISATION),
        excess: beyond(leave_at),
        size_kib,
        is_home: capacity.is_home,
    }
}

/// Returns the flows that remain of the previous shares, which fall by one step, as far as the
/// receiving regions have room for them.
fn held_flows(
    shares: &BTreeMap<Pair, Share>,
    demand: &BTreeMap<RegionId, RegionDemand>,
    states: &BTreeMap<RegionId, RegionState>,
    flows: &BTreeMap<Pair, Flow>,
    elapsed: Duration,
) -> BTreeMap<Pair, f64> {
    let step = FALL_PER_SECOND * elapsed.as_secs_f64();
    let mut leaving: BTreeMap<&RegionId, f64> = BTreeMap::new();
    for ((from, _), share) in shares {
        *leaving.entry(from).or_default() += share.current;
    }
    let mut held: BTreeMap<Pair, f64> = BTreeMap::new();
    for (pair, share) in shares {
        let movable = demand.get(&pair.0).map_or(0.0, |one| one.movable);
        let wanted = flows.get(pair).map_or(0.0, |flow| flow.rate);
        let total = leaving.get(&pair.0).copied().unwrap_or_default();
        let part = if total > 0.0 {
            share.current / total
        } else {
            0.0
        };
        let remaining = (share.current - step * part) * movable;
        held.insert(pair.clone(), remaining.max(wanted));
    }
    let mut received: BTreeMap<RegionId, f64> = BTreeMap::new();
    for ((_, to), rate) in &held {
        *received.entry(to.clone()).or_default() += rate;
    }
    for ((from, to), rate) in &mut held {
        let state = |id: &RegionId| states.get(id).copied().unwrap_or_default();
        let most = most_received(&state(to));
        let total = received.get(to).copied().unwrap_or_default();
        if total > most {
            *rate *= most / total;
        }
        let is_receiver = flows
            .iter()
            .any(|((_, to), flow)| to == from && flow.rate > 0.0);
        if is_receiver {
            *rate = 0.0;
        }
    }
    held
}
