//! Plans of a leading controller after losses, restarts, drains and hot keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_config::ConfigFiles;
use carawayrill_controller::blocks::BlockWrite;
use carawayrill_controller::fleet::PlanningInput;
use carawayrill_controller::heartbeats::Heartbeat;
use carawayrill_controller::heartbeats::HeartbeatTable;
use carawayrill_controller::heartbeats::ServerReport;
use carawayrill_controller::hold::TAKEOVER_GRACE;
use carawayrill_controller::planner::Plan;
use carawayrill_controller::planner::Planner;
use carawayrill_controller::servers::ServerTable;
use carawayrill_controller::view::StoreView;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::Version;
use carawayrill_core::object::DrainOrder;
use carawayrill_core::object::Member;
use carawayrill_core::ownership::takeover::Change;
use carawayrill_core::placement::BalanceConfig;
use carawayrill_core::placement::Demand;
use carawayrill_core::placement::HotDemand;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;
use carawayrill_core::time::millis;
use carawayrill_core::token::Token;
use carawayrill_store::port::Object;
use rstest::rstest;

/// Three data centres of one region, each with two servers and two routers; 48 shards.
const BASE: &str = "
name: example
region_link: 1Gbit/s
data_centres:
  north-1: {region: north}
  north-2: {region: north}
  north-3: {region: north}
services:
  forms: {key: header x-form, shards: 48, shards_per_block: 8, slots: 4, connections: 20}
servers:
  forms-1: {service: forms, data_centre: north-1, address: 127.0.0.1:21001}
  forms-2: {service: forms, data_centre: north-2, address: 127.0.0.1:21002}
  forms-3: {service: forms, data_centre: north-3, address: 127.0.0.1:21003}
  forms-4: {service: forms, data_centre: north-1, address: 127.0.0.1:21004}
  forms-5: {service: forms, data_centre: north-2, address: 127.0.0.1:21005}
  forms-6: {service: forms, data_centre: north-3, address: 127.0.0.1:21006}
";
const SILENCE: Duration = Duration::from_secs(1);
const LEADING_SINCE: Time = Time(1_000);

/// All tables of a leading controller.
struct Cluster {
    now: Time,
    view: StoreView,
    heartbeats: HeartbeatTable,
    servers: ServerTable,
    stopping_vms: BTreeSet<compact_str::CompactString>,
    planner: Planner,
}

fn router_name(index: u32) -> RouterId {
    format!("router-{index}").parse().unwrap()
}

impl Cluster {
    /// Creates a cluster without routers, whose servers all respond.
    fn empty() -> Self {
        let mut view = StoreView::default();
        let deployment = ConfigFiles::new(BASE).check().unwrap().deployment;
        view.deployment = Some(Arc::new(deployment));
        let mut cluster = Self {
            now: LEADING_SINCE,
            view,
            heartbeats: HeartbeatTable::default(),
            servers: ServerTable::default(),
            stopping_vms: BTreeSet::new(),
            planner: Planner::new(BalanceConfig::default()),
        };
        for index in 1..=6 {
            let server = format!("forms-{index}").parse().unwrap();
            cluster.servers.on_probe(&server, Some(false));
        }
        cluster
    }

    /// Creates a cluster with six routers in which all shards are placed.
    fn placed() -> Self {
        let mut cluster = Self::empty();
        for index in 1..=6 {
            cluster.start_router(index, 1);
        }
        cluster.advance(400, &[]);
        let plan = cluster.plan(None);
        assert_eq!(plan.writes.len(), 6);
        cluster.write(plan.writes);
        cluster
    }

    fn start_router(&mut self, index: u32, incarnation: u64) {
        let member = Member {
            router: router_name(index),
            incarnation: Incarnation(incarnation),
            data_centre: format!("north-{}", (index - 1) % 3 + 1).parse().unwrap(),
            peer: "127.0.0.1:1".parse().unwrap(),
            http: "127.0.0.1:1".parse().unwrap(),
            draining: false,
        };
        let object = Object {
            name: carawayrill_core::object::member_name(&member.router),
            version: Version(self.now.0 + incarnation),
            value: serde_json::to_vec(&member).unwrap().into(),
        };
        self.view.apply(self.now, &object).unwrap();
    }

    /// Advances the time. All routers but the silent ones send a heartbeat every 200 ms. Routers
    /// 1 to 3 are the relays.
    fn advance(&mut self, millis: u64, silent: &[u32]) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = (self.now + Duration::from_millis(200)).min(end);
            for index in (1..=6).filter(|index| !silent.contains(index)) {
                let relay = (index - 1) % 3 + 1;
                let relay = if silent.contains(&relay) {
                    relay + 3
                } else {
                    relay
                };
                self.send_heartbeat(index, relay, &[]);
            }
        }
    }

    fn send_heartbeat(&mut self, index: u32, relay: u32, lost: &[&str]) {
        let router = router_name(index);
        let Some(entry) = self.view.members.get(&router) else {
            return;
        };
        let member = &entry.member;
        let servers = lost.iter().map(|name| ServerReport {
            server: name.parse().unwrap(),
            lost: true,
            draining: false,
        });
        let heartbeat = Heartbeat {
            router: member.router.clone(),
            incarnation: member.incarnation,
            data_centre: member.data_centre.clone(),
            draining: false,
            servers: servers.collect(),
            loads: Vec::new(),
        };
        for server in &heartbeat.servers {
            self.servers.on_home_report(server);
        }
        self.heartbeats
            .on_report(self.now, &router_name(relay), vec![heartbeat]);
    }

    fn plan(&mut self, demand: Option<&[Demand]>) -> Plan {
        let input = PlanningInput {
            deployment: self.view.deployment.as_deref().unwrap(),
            view: &self.view,
            heartbeats: &self.heartbeats,
            servers: &self.servers,
            stopping_vms: &self.stopping_vms,
            leading_since: LEADING_SINCE,
            now: self.now,
        };
        self.planner.plan(&input, demand, WallTime(1))
    }

    fn write(&mut self, writes: Vec<BlockWrite>) {
        for write in writes {
            let version = Version(write.expected.0 + 100);
            self.view.set_block(version, write.block);
        }
    }

    /// Stores changes as the takeover table would, each with the next stored term.
    fn apply_changes(&mut self, changes: &[Change]) {
        for change in changes {
            let mut known = self.view.blocks[&change.block].clone();
            let old = known.value.row(&change.shard).unwrap();
            let term = old.token.term.next_stored();
            let row = Assignment {
                owner: change.owner.clone(),
                standby: change.standby.clone(),
                home: change.home.router.clone(),
                home_run: change.home.incarnation,
                standby_home: change.standby_home.as_ref().map(|run| run.router.clone()),
                standby_home_run: change
                    .standby_home
                    .as_ref()
                    .map_or(Incarnation(0), |run| run.incarnation),
                token: Token { term, ..old.token },
                ..old.clone()
            };
            known.value.set(row);
            self.view.set_block(known.version.next(), known.value);
        }
    }

    fn rows(&self) -> Vec<Assignment> {
        self.view.rows().cloned().collect()
    }
}

fn by_reason(plan: &Plan) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for change in &plan.changes {
        *counts.entry(format!("{:?}", change.reason)).or_default() += 1;
    }
    counts
}

#[test]
fn unchanged_fleet_needs_no_changes() {
    let mut cluster = Cluster::placed();
    for _ in 0..20 {
        cluster.advance(500, &[]);
        let plan = cluster.plan(None);
        assert!(
            plan.changes.is_empty() && plan.writes.is_empty() && plan.expired_members.is_empty()
        );
    }
}

/// The first placement waits for routers that start together, for a limited time.
#[rstest]
#[case::all_at_once(&[0, 0, 0, 0, 0, 0], 300)]
#[case::one_after_the_other(&[0, 200, 400, 600, 800, 1_000], 1_300)]
#[case::without_a_pause(&[0, 290, 580, 870, 1_160, 1_450, 1_740, 2_030, 2_320, 2_610, 2_900, 3_190], 3_000)]
fn first_placement_waits_for_routers(#[case] starts: &[u64], #[case] expected: u64) {
    let mut cluster = Cluster::empty();
    let began = cluster.now;
    let placed = (0..400).find_map(|step| {
        cluster.now = began + Duration::from_millis(step * 10);
        for (at, index) in starts.iter().zip(1..) {
            if *at == step * 10 {
                cluster.start_router(index, 1);
            }
            cluster.send_heartbeat(index, index, &[]);
        }
        let writes = cluster.plan(None).writes;
        (!writes.is_empty()).then_some(step * 10)
    });
    assert_eq!(placed, Some(expected));
}

/// The home of a lost server first has a grace period to replace it. After that, the change of
/// each shard is requested once and not in every tick.
#[test]
fn lost_server_is_replaced_after_the_grace_period() {
    let mut cluster = Cluster::placed();
    let lost: ServerId = "forms-1".parse().unwrap();
    let home = cluster
        .rows()
        .into_iter()
        .find(|row| row.owner == lost)
        .unwrap()
        .home;
    let index = home.as_str().rsplit('-').next().unwrap().parse().unwrap();
    cluster.send_heartbeat(index, index, &["forms-1"]);
    let standbys = cluster
        .rows()
        .iter()
        .filter(|row| row.standby.as_ref() == Some(&lost))
        .count();
    let owned = cluster
        .rows()
        .iter()
        .filter(|row| row.owner == lost)
        .count();
    let first = cluster.plan(None);
    assert!(
        first
            .changes
            .iter()
            .all(|change| change.reason != Reason::ServerLost)
    );
    assert_eq!(
        first.changes.len(),
        standbys,
        "only standby servers are replaced at once"
    );
    cluster.apply_changes(&first.changes);
    cluster.advance(millis(TAKEOVER_GRACE), &[]);
    let plan = cluster.plan(None);
    assert_eq!(
        by_reason(&plan),
        BTreeMap::from([("ServerLost".to_owned(), owned)])
    );
    cluster.advance(200, &[]);
    assert!(cluster.plan(None).changes.is_empty(), "already requested");
    cluster.apply_changes(&plan.changes);
    cluster.advance(200, &[]);
    assert!(cluster.plan(None).changes.is_empty(), "already in force");
    assert!(cluster.rows().iter().all(|row| row.owner != lost));
}

#[rstest]
#[case::recently_silent(900, 0)]
#[case::lost_but_deferred_to_the_standby_home(1_200, 0)]
#[case::after_the_grace_period(2_800, 1)]
fn lost_router_is_replaced_after_the_grace_period(#[case] silent_ms: u64, #[case] expected: usize) {
    let mut cluster = Cluster::placed();
    let mut home_moves = 0;
    for _ in 0..silent_ms / 100 {
        cluster.advance(100, &[6]);
        let plan = cluster.plan(None);
        home_moves += plan.moves.iter().filter(|step| step.changes_home()).count();
        cluster.apply_changes(&plan.changes);
    }
    let name = router_name(6);
    let is_home = |row: &Assignment| row.home == name;
    assert_eq!(usize::from(home_moves > 0), expected);
    assert_eq!(cluster.rows().iter().any(is_home), expected == 0);
}

/// A lost standby home is replaced only after the grace period. For the replacement, the home has
/// to pledge its owner, which may be lost by the same failure.
#[test]
fn lost_standby_home_is_replaced_after_the_grace_period() {
    let mut cluster = Cluster::placed();
    cluster.advance(200, &[]);
    let name = router_name(6);
    let standby = |row: &Assignment| row.standby_home.as_ref() == Some(&name);
    assert!(cluster.rows().iter().any(standby));
    let mut first = None;
    for step in 1..=40_u64 {
        cluster.advance(100, &[6]);
        let plan = cluster.plan(None);
        let replaced = |change: &Change| {
            cluster
                .rows()
                .iter()
                .any(|row| row.shard == change.shard && standby(row))
        };
        if first.is_none() && plan.changes.iter().any(replaced) {
            first = Some(step * 100);
        }
        cluster.apply_changes(&plan.changes);
    }
    let due = millis(SILENCE + TAKEOVER_GRACE);
    assert!(first.is_some_and(|at| at >= due), "{first:?}");
    assert!(!cluster.rows().iter().any(standby));
}

/// The loss of a relay stops the heartbeats of its data centre. The limit of silence is therefore
/// doubled for the other routers there.
#[test]
fn loss_of_a_relay_is_not_loss_of_its_data_centre() {
    let mut cluster = Cluster::placed();
    let last_heartbeats = cluster.now;
    while cluster.now.since(last_heartbeats) < SILENCE + Duration::from_millis(600) {
        cluster.now = cluster.now + Duration::from_millis(200);
        for index in [2, 3, 5, 6] {
            cluster.send_heartbeat(index, (index - 1) % 3 + 1, &[]);
        }
    }
    let lost = |cluster: &Cluster| {
        let input = PlanningInput {
            deployment: cluster.view.deployment.as_deref().unwrap(),
            view: &cluster.view,
            heartbeats: &cluster.heartbeats,
            servers: &cluster.servers,
            stopping_vms: &cluster.stopping_vms,
            leading_since: LEADING_SINCE,
            now: cluster.now,
        };
        let rows = input.fleet().routers.into_iter();
        rows.filter(|row| row.state == carawayrill_core::placement::NodeState::Lost)
            .map(|row| row.id.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(lost(&cluster), ["router-1"]);
    cluster.now = cluster.now + SILENCE;
    for index in [2, 3, 5, 6] {
        cluster.send_heartbeat(index, (index - 1) % 3 + 1, &[]);
    }
    assert_eq!(lost(&cluster), ["router-1", "router-4"]);
}

/// A restarted router is no longer the home of its shards. It may be appointed again with its new
/// incarnation.
#[test]
fn restarted_router_is_replaced() {
    let mut cluster = Cluster::placed();
    cluster.advance(200, &[]);
    cluster.start_router(6, 2);
    let name = router_name(6);
    let homes = cluster.rows().iter().filter(|row| row.home == name).count();
    let mut changed = 0;
    for _ in 0..30 {
        cluster.advance(100, &[]);
        let plan = cluster.plan(None);
        changed += plan
            .changes
            .iter()
            .filter(|change| change.reason == Reason::HomeLost)
            .count();
        cluster.apply_changes(&plan.changes);
    }
    let stale = |row: &Assignment| row.home == name && row.home_run == Incarnation(1);
    assert!(homes > 0 && changed >= homes);
    assert!(!cluster.rows().iter().any(stale));
}

/// The member entry of a lost router is deleted after ten times the limit of silence.
#[test]
fn entry_of_a_lost_router_is_deleted() {
    let mut cluster = Cluster::placed();
    let mut deleted = Vec::new();
    for _ in 0..150 {
        cluster.advance(100, &[6]);
        let plan = cluster.plan(None);
        cluster.apply_changes(&plan.changes);
        deleted.extend(plan.expired_members);
        if !deleted.is_empty() {
            break;
        }
    }
    let silent = cluster.now.since(Time(1_400));
    assert_eq!(
        deleted.first().map(|(router, _)| router.clone()),
        Some(router_name(6))
    );
    assert!(silent >= SILENCE * 10, "{silent:?}");
}

#[rstest]
#[case::operator(true)]
#[case::platform(false)]
fn drain_limits_moves_in_progress(#[case] by_operator: bool) {
    let mut cluster = Cluster::placed();
    if by_operator {
        let order = DrainOrder {
            name: "forms-2".into(),
            reason: "upgrade".into(),
            since: WallTime(1),
        };
        let object = Object {
            name: "drains/forms-2".into(),
            version: Version(9),
            value: serde_json::to_vec(&order).unwrap().into(),
        };
        cluster.view.apply(cluster.now, &object).unwrap();
    } else {
        cluster.stopping_vms.insert("forms-2".into());
    }
    let max_moves = BalanceConfig::default().max_moves;
    let owned = |cluster: &Cluster| {
        cluster
            .rows()
            .iter()
            .filter(|row| row.owner.as_str() == "forms-2")
            .count()
    };
    let mut moves = 0;
    for _ in 0..10 {
        let before = owned(&cluster);
        let plan = cluster.plan(None);
        cluster.advance(200, &[]);
        assert!(
            cluster
                .plan(None)
                .changes
                .iter()
                .all(|change| change.reason != Reason::Drain),
            "no further moves while these are in progress"
        );
        cluster.apply_changes(&plan.changes);
        assert!(before - owned(&cluster) <= max_moves);
        moves += before - owned(&cluster);
    }
    assert_eq!((owned(&cluster), moves), (0, 8));
}

/// A hot key is split out in place and moved later. Before it is merged, the term of its range is
/// raised above the key's, so that the next split doesn't reuse a token.
#[test]
fn hot_key_from_split_to_merge() {
    let mut cluster = Cluster::placed();
    let key = KeyHash(1);
    let service = "forms".parse().unwrap();
    let hot = ShardId::hot(service, key);
    let mut log = Vec::new();
    let mut tokens = Vec::new();
    for window in 0..24_u64 {
        cluster.advance(10_000, &[]);
        let load = if (3..18).contains(&window) { 2 } else { 900 };
        let rows = cluster.rows();
        let mut demand: Vec<Demand> = rows
            .iter()
            .map(|row| Demand::of_load(row.shard.clone(), 100))
            .collect();
        match demand.iter_mut().find(|row| row.shard == hot) {
            Some(row) => row.load = load,
            None => demand[0].hot = Some(HotDemand { key, load }),
        }
        let plan = cluster.plan(Some(&demand));
        let split: Vec<String> = plan
            .writes
            .iter()
            .flat_map(|write| &write.changed)
            .map(|row| format!("split {} {} at {}", row.shard, row.token, row.owner))
            .collect();
        let merged = plan
            .writes
            .iter()
            .filter(|write| write.changed.is_empty())
            .count();
        let changes: Vec<String> = plan
            .changes
            .iter()
            .filter(|change| change.reason == Reason::HotKey)
            .map(|change| format!("change {}", change.shard))
            .collect();
        if !split.is_empty() || merged > 0 || !changes.is_empty() {
            log.push(format!("{window}: {split:?} merged {merged} {changes:?}"));
        }
        cluster.write(plan.writes);
        cluster.apply_changes(&plan.changes);
        tokens.extend(
            cluster
                .rows()
                .iter()
                .find(|row| row.shard == hot)
                .map(|row| row.token),
        );
    }
    insta::assert_snapshot!(log.join("\n"));
    assert!(
        tokens.is_sorted(),
        "a token of the key decreased: {tokens:?}"
    );
}

/// A lost server that owns no shard doesn't count as idle.
#[rstest]
#[case::unknown_server(&[], false)]
#[case::first_probe_fails(&[None], true)]
#[case::one_failure_of_a_live_server(&[Some(false), None], false)]
#[case::three_failures(&[Some(false), None, None, None], true)]
#[case::one_response_of_a_lost_server(&[None, Some(false)], true)]
#[case::two_responses(&[None, Some(false), Some(false)], false)]
fn probes_distinguish_lost_from_idle_servers(#[case] probes: &[Option<bool>], #[case] lost: bool) {
    let mut table = ServerTable::default();
    let server: ServerId = "forms-1".parse().unwrap();
    for probe in probes {
        table.on_probe(&server, *probe);
    }
    assert_eq!(table.is_lost(&server), lost);
}
