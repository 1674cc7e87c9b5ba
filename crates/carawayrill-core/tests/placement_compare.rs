//! Comparison of placement with static hashing and plain consistent hashing on skewed demand.
//!
//! All policies run on one trace, generated from a fixed seed: 2,000 keys with a Zipf distribution
//! on 20 servers in 3 regions, over 90 windows of 10 s. Each phase begins with an event. The
//! snapshot is the table in `docs/design/placement.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use carawayrill_core::id::KeyHash;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::ShardPart;
use carawayrill_core::measure::Churn;
use carawayrill_core::measure::OwnedItem;
use carawayrill_core::measure::Ratio;
use carawayrill_core::measure::ServerLoad;
use carawayrill_core::measure::UnavailableTable;
use carawayrill_core::measure::imbalance;
use carawayrill_core::placement::BalanceConfig;
use carawayrill_core::placement::Balancer;
use carawayrill_core::placement::Demand;
use carawayrill_core::placement::EndedIncarnations;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::HotDemand;
use carawayrill_core::placement::NodeState;
use carawayrill_core::placement::Placement;
use carawayrill_core::placement::Step;
use carawayrill_core::placement::baseline::Ring;
use carawayrill_core::placement::baseline::static_owner;
use carawayrill_core::placement::limit_moves;
use carawayrill_core::placement::plan_initial;
use carawayrill_core::placement::plan_replacements;
use carawayrill_core::time::Time;
use placement_support::fleet;
use placement_support::shards;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

mod placement_support;

const SEED: u64 = 20;
const KEYS: u32 = 2_000;
const SERVERS: usize = 20;
const RANGES: u32 = 320;
const WINDOW_MS: u64 = 10_000;
/// Mean number of requests per window, over all keys.
const REQUESTS_PER_WINDOW: f64 = 100_000.0;
const ZIPF_EXPONENT: f64 = 0.8;
/// Time without responses for the keys of a lost server: the silence after which it counts as lost,
/// plus the time until its last grant expires. The values are the defaults of the settings
/// `server_silence` and `grant_ttl`.
const LOSS_UNAVAILABLE_MS: u64 = 1_000 + 1_500;
/// Time for which requests of a key are held during a planned move: one round of orders within a
/// region.
const MOVE_HOLD_MS: u64 = 20;
/// Points of a server on the consistent-hashing ring.
const POINTS_PER_SERVER: u32 = 100;

/// The event at the start of a phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Start,
    HotKeysChange,
    ServerLost,
    ServerReturns,
    ServerDrains,
}

/// The phases, each with its first window.
const PHASES: [(Event, u64); 6] = [
    (Event::Start, 0),
    (Event::HotKeysChange, 20),
    (Event::ServerLost, 40),
    (Event::ServerReturns, 50),
    (Event::HotKeysChange, 60),
    (Event::ServerDrains, 80),
];
const WINDOW_COUNT: u64 = 90;

/// Index of the server that the events affect.
const AFFECTED_SERVER: usize = 3;

/// The owner of each key of the trace.
type Owners = Vec<ServerId>;

/// A policy that assigns keys to servers.
trait Policy {
    /// Handles a change of the fleet.
    fn on_fleet(&mut self, fleet: &Fleet);
    /// Handles the demand of a window that has ended.
    fn on_demand(&mut self, window: u64, fleet: &Fleet, keys: &[KeyHash], demand: &[u64]);
    /// Returns the owner of each key.
    fn owners(&self, keys: &[KeyHash]) -> Owners;
}

fn live(fleet: &Fleet) -> Vec<ServerId> {
    let rows = fleet.servers.iter();
    rows.filter(|row| row.state == NodeState::Live)
        .map(|row| row.id.clone())
        .collect()
}

struct Static(Vec<ServerId>);

impl Policy for Static {
    fn on_fleet(&mut self, fleet: &Fleet) {
        self.0 = live(fleet);
    }

    fn on_demand(&mut self, _window: u64, _fleet: &Fleet, _keys: &[KeyHash], _demand: &[u64]) {}

    fn owners(&self, keys: &[KeyHash]) -> Owners {
        let owner = |key: &KeyHash| static_owner(&self.0, *key).unwrap().clone();
        keys.iter().map(owner).collect()
    }
}

struct Consistent(Ring);

impl Policy for Consistent {
    fn on_fleet(&mut self, fleet: &Fleet) {
        self.0 = Ring::new(&live(fleet), POINTS_PER_SERVER);
    }

    fn on_demand(&mut self, _window: u64, _fleet: &Fleet, _keys: &[KeyHash], _demand: &[u64]) {}

    fn owners(&self, keys: &[KeyHash]) -> Owners {
        let owner = |key: &KeyHash| self.0.owner(*key).unwrap().clone();
        keys.iter().map(owner).collect()
    }
}

struct Balanced {
    rows: BTreeMap<ShardId, Placement>,
    balancer: Balancer,
}

impl Balanced {
    fn new(config: BalanceConfig) -> Self {
        Self {
            rows: BTreeMap::new(),
            balancer: Balancer::new(config),
        }
    }

    fn current(&self) -> Vec<Placement> {
        self.rows.values().cloned().collect()
    }

    fn shard(&self, key: KeyHash) -> ShardId {
        let service = "forms".parse().unwrap();
        let hot = ShardId::hot(service, key);
        if self.rows.contains_key(&hot) {
            return hot;
        }
        ShardId::range(hot.service, key.range_of(RANGES))
    }

    fn demand(&self, keys: &[KeyHash], demand: &[u64]) -> Vec<Demand> {
        let mut rows: BTreeMap<ShardId, Demand> = BTreeMap::new();
        for (key, load) in keys.iter().zip(demand) {
            let shard = self.shard(*key);
            let row = rows
                .entry(shard.clone())
                .or_insert_with(|| Demand::of_load(shard, 0));
            row.load += load;
            let hotter = row.hot.is_none_or(|hot| hot.load < *load);
            if hotter && matches!(row.shard.part, ShardPart::Range(_)) {
                row.hot = Some(HotDemand {
                    key: *key,
                    load: *load,
                });
            }
        }
        rows.into_values().collect()
    }

    fn put(&mut self, row: Placement) {
        self.rows.insert(row.shard.clone(), row);
    }
}

impl Policy for Balanced {
    fn on_fleet(&mut self, fleet: &Fleet) {
        for row in plan_initial(fleet, &shards(RANGES), &self.current()).placed {
            self.put(row);
        }
        for step in plan_replacements(fleet, &self.current(), &EndedIncarnations::default()) {
            self.put(step.to);
        }
    }

    fn on_demand(&mut self, window: u64, fleet: &Fleet, keys: &[KeyHash], demand: &[u64]) {
        let reported = self.demand(keys, demand);
        let rows = self.current();
        let pending = BTreeSet::new();
        let steps =
            self.balancer
                .round(Time(window * WINDOW_MS), fleet, &rows, &reported, &pending);
        for step in steps {
            match step {
                Step::Move(step) => self.put(step.to),
                Step::Split { to, .. } => self.put(to),
                Step::Merge { shard, .. } => drop(self.rows.remove(&shard)),
            }
        }
        let repairs = plan_replacements(fleet, &self.current(), &EndedIncarnations::default());
        for step in limit_moves(repairs, 4) {
            self.put(step.to);
        }
    }

    fn owners(&self, keys: &[KeyHash]) -> Owners {
        let owner = |key: &KeyHash| self.rows[&self.shard(*key)].owner.clone();
        keys.iter().map(owner).collect()
    }
}

/// Generates the demand of each key in each window: a Zipf distribution with up to 10% of noise.
/// Events change the ranks of keys.
struct Trace {
    keys: Vec<KeyHash>,
    rng: ChaCha8Rng,
    order: Vec<u32>,
}

impl Trace {
    fn new() -> Self {
        Self {
            keys: (0..KEYS)
                .map(|key| KeyHash::of(&key.to_le_bytes()))
                .collect(),
            rng: ChaCha8Rng::seed_from_u64(SEED),
            order: (0..KEYS).collect(),
        }
    }

    /// Replaces the 12 hottest keys by others.
    fn change_hot_keys(&mut self) {
        for rank in 0..12 {
            let other = self.rng.random_range(12..self.order.len());
            self.order.swap(rank, other);
        }
    }

    fn window(&mut self) -> Vec<u64> {
        let share = |rank: usize| (rank as f64 + 1.0).powf(-ZIPF_EXPONENT);
        let total: f64 = (0..self.order.len()).map(share).sum();
        let mut demand = vec![0; self.order.len()];
        for (rank, key) in self.order.iter().enumerate() {
            let noise = self.rng.random_range(0.9..1.1);
            let load = REQUESTS_PER_WINDOW * share(rank) / total * noise;
            demand[*key as usize] = round_requests(load);
        }
        demand
    }
}

/// Rounds a number of requests.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and small"
)]
fn round_requests(load: f64) -> u64 {
    load.round() as u64
}

/// The measurements of one phase.
#[derive(Default)]
struct PhaseStats {
    ratios: Vec<Ratio>,
    /// Lowest possible imbalance in the last window, which the hottest key determines.
    least: Ratio,
    churn: Option<Churn>,
    planned: u64,
    unavailable: UnavailableTable,
}

fn owned<'a>(keys: &[KeyHash], owners: &'a Owners) -> Vec<OwnedItem<'a, KeyHash>> {
    let rows = keys.iter().zip(owners);
    rows.map(|(key, owner)| OwnedItem {
        item: *key,
        owner,
        keys: 1,
    })
    .collect()
}

fn ratio(fleet: &Fleet, owners: &Owners, demand: &[u64]) -> Ratio {
    let mut loads: BTreeMap<&ServerId, u64> = BTreeMap::new();
    for (owner, load) in owners.iter().zip(demand) {
        *loads.entry(owner).or_default() += load;
    }
    let names = live(fleet);
    let rows = names
        .iter()
        .map(|id| ServerLoad::new(loads.get(id).copied().unwrap_or(0), 1));
    imbalance(&rows.collect::<Vec<_>>())
}

/// Returns the imbalance if one server owns only the hottest key, or 1 if that load is below the
/// mean.
fn lowest_imbalance(fleet: &Fleet, demand: &[u64]) -> Ratio {
    let hottest = demand.iter().max().copied().unwrap_or(0);
    let total: u64 = demand.iter().sum();
    Ratio::of(hottest * live(fleet).len() as u64, total).max(Ratio::ONE)
}

impl PhaseStats {
    /// Records the owners of the keys before and after a change at `at`.
    fn on_change(
        &mut self,
        at: Time,
        keys: &[KeyHash],
        before: &Owners,
        after: &Owners,
        lost: Option<&ServerId>,
    ) {
        for (key, (old, new)) in keys.iter().zip(before.iter().zip(after)) {
            if old == new {
                continue;
            }
            let span = if Some(old) == lost {
                LOSS_UNAVAILABLE_MS
            } else {
                MOVE_HOLD_MS
            };
            let item = ShardId::hot("forms".parse().unwrap(), *key);
            self.unavailable.on_failed(&item, at);
            self.unavailable.on_served(&item, Time(at.0 + span));
            self.planned += u64::from(Some(old) != lost);
        }
    }
}

impl fmt::Display for PhaseStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum: u64 = self.ratios.iter().map(|ratio| ratio.0).sum();
        let mean = Ratio(sum / self.ratios.len() as u64);
        let last = self.ratios.last().copied().unwrap_or(Ratio::ONE);
        let churn = self.churn.unwrap_or(Churn {
            moved: Ratio(0),
            least: Ratio(0),
        });
        let later = Ratio::of(self.planned, KEYS.into());
        let unavailable = self.unavailable.total_ms(Time(u64::MAX)) / u64::from(KEYS);
        write!(
            f,
            "{mean} | {last} | {} | {} | {} | {later} | {unavailable}",
            self.least, churn.moved, churn.least
        )
    }
}

fn run(name: &str, policy: &mut dyn Policy) -> Vec<String> {
    let mut fleet = fleet(3, 2, 4, 2);
    fleet.servers.truncate(SERVERS);
    let affected = fleet.servers[AFFECTED_SERVER].id.clone();
    let mut trace = Trace::new();
    let keys = trace.keys.clone();
    let mut lines = Vec::new();
    let mut stats = PhaseStats::default();
    let mut label = String::new();
    policy.on_fleet(&fleet);
    for window in 0..WINDOW_COUNT {
        let at = Time(window * WINDOW_MS);
        if let Some((event, _)) = PHASES.iter().find(|(_, first)| *first == window) {
            if window > 0 {
                lines.push(format!("| {name} | {label} | {stats} |"));
            }
            stats = PhaseStats::default();
            label = format!("{event:?}");
            let before = policy.owners(&keys);
            match event {
                Event::Start => {}
                Event::HotKeysChange => trace.change_hot_keys(),
                Event::ServerLost => fleet.servers[AFFECTED_SERVER].state = NodeState::Lost,
                Event::ServerReturns => fleet.servers[AFFECTED_SERVER].state = NodeState::Live,
                Event::ServerDrains => fleet.servers[AFFECTED_SERVER].state = NodeState::Draining,
            }
            policy.on_fleet(&fleet);
            let after = policy.owners(&keys);
            let lost = (*event == Event::ServerLost).then_some(&affected);
            stats.on_change(at, &keys, &before, &after, lost);
            stats.churn = Some(Churn::between(
                &owned(&keys, &before),
                &owned(&keys, &after),
            ));
        }
        let demand = trace.window();
        let before = policy.owners(&keys);
        stats.ratios.push(ratio(&fleet, &before, &demand));
        stats.least = lowest_imbalance(&fleet, &demand);
        policy.on_demand(window, &fleet, &keys, &demand);
        let after = policy.owners(&keys);
        let ended = Time(at.0 + WINDOW_MS / 2);
        stats.on_change(ended, &keys, &before, &after, None);
    }
    lines.push(format!("| {name} | {label} | {stats} |"));
    lines
}

#[test]
fn policies_on_one_trace() {
    let mut lines = vec![
        "| policy | phase | mean max/mean load | last max/mean load | least possible | churn at the event | least churn | planned moves in the phase, share of keys | unavailable ms a key |"
            .to_owned(),
        "|---|---|---|---|---|---|---|---|---|".to_owned(),
    ];
    lines.extend(run("static hashing", &mut Static(Vec::new())));
    lines.extend(run(
        "consistent hashing",
        &mut Consistent(Ring::new(&[], POINTS_PER_SERVER)),
    ));
    lines.extend(run(
        "placement",
        &mut Balanced::new(BalanceConfig::default()),
    ));
    let high_churn_cost = BalanceConfig::default().churn_cost(Ratio(1_000));
    lines.extend(run(
        "placement, churn cost 1.000",
        &mut Balanced::new(high_churn_cost),
    ));
    insta::assert_snapshot!(lines.join("\n"));
}
