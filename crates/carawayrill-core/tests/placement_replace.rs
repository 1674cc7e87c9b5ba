//! Tests of losses and drains: all shards of the server or router move, and no others.

use std::collections::BTreeSet;

use carawayrill_core::assignment::Reason;
use carawayrill_core::id::ShardId;
use carawayrill_core::measure::Churn;
use carawayrill_core::measure::OwnedItem;
use carawayrill_core::placement::BalanceConfig;
use carawayrill_core::placement::Demand;
use carawayrill_core::placement::EndedIncarnations;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::Move;
use carawayrill_core::placement::NodeState;
use carawayrill_core::placement::Placement;
use carawayrill_core::placement::limit_moves;
use carawayrill_core::placement::plan_initial;
use carawayrill_core::placement::plan_replacements;
use carawayrill_core::placement::set_cost_benefit;
use carawayrill_core::placement::shortfalls;
use placement_support::fleet;
use placement_support::shards;
use proptest::prelude::*;
use rstest::rstest;

mod placement_support;

/// Places `count` shards on a fleet of three regions with three data centres each.
fn placed(count: u32) -> (Fleet, Vec<Placement>) {
    let fleet = fleet(3, 3, 2, 1);
    let placed = plan_initial(&fleet, &shards(count), &[]).placed;
    (fleet, placed)
}

fn apply(current: &[Placement], moves: &[Move]) -> Vec<Placement> {
    let new = |row: &Placement| {
        let found = moves.iter().find(|step| step.from == *row);
        found.map_or_else(|| row.clone(), |step| step.to.clone())
    };
    current.iter().map(new).collect()
}

fn owners(rows: &[Placement]) -> Vec<OwnedItem<'_, &ShardId>> {
    let owned = rows.iter().map(|row| OwnedItem {
        item: &row.shard,
        owner: &row.owner,
        keys: 1,
    });
    owned.collect()
}

fn churn(before: &[Placement], after: &[Placement]) -> Churn {
    Churn::between(&owners(before), &owners(after))
}

fn set(fleet: &mut Fleet, name: &str, state: NodeState) {
    let servers = fleet
        .servers
        .iter_mut()
        .filter(|row| row.id.as_str() == name);
    servers.for_each(|row| row.state = state);
    let routers = fleet
        .routers
        .iter_mut()
        .filter(|row| row.id.as_str() == name);
    routers.for_each(|row| row.state = state);
}

#[rstest]
#[case::server_lost("s-000", NodeState::Lost)]
#[case::server_drains("s-000", NodeState::Draining)]
#[case::router_lost("g-010", NodeState::Lost)]
#[case::router_drains("g-010", NodeState::Draining)]
fn only_affected_shards_move(#[case] name: &str, #[case] state: NodeState) {
    let (mut fleet, before) = placed(36);
    set(&mut fleet, name, state);
    let moves = plan_replacements(&fleet, &before, &EndedIncarnations::default());
    let after = apply(&before, &moves);
    let churn = churn(&before, &after);
    assert_eq!(churn.moved, churn.least, "{churn}");
    let text: Vec<String> = moves
        .iter()
        .map(|step| {
            format!(
                "{} -> {} {:?} urgent {}",
                step.from, step.to, step.reason, step.urgent
            )
        })
        .collect();
    insta::assert_snapshot!(format!("{name}_{state:?}").to_lowercase(), text.join("\n"));
}

/// After the loss of a home, the standby homes of its servers become their homes, since they may
/// already serve.
#[test]
fn standby_home_takes_over() {
    let mut fleet = fleet(3, 3, 2, 3);
    let before = plan_initial(&fleet, &shards(36), &[]).placed;
    set(&mut fleet, "g-010", NodeState::Lost);
    let moves = plan_replacements(&fleet, &before, &EndedIncarnations::default());
    assert!(moves.iter().any(Move::changes_home));
    let mut rehomed = moves
        .iter()
        .filter(|step| step.from.home.as_str() == "g-010");
    assert!(rehomed.all(|step| Some(&step.to.home) == step.from.standby_home.as_ref()));
}

/// After a takeover, a standby home in the data centre of its server stays the home until another
/// router of the region can replace it. Then a planned move replaces it.
#[test]
fn standby_home_that_took_over_stays() {
    let mut fleet = fleet(2, 2, 1, 1);
    let before = plan_initial(&fleet, &shards(8), &[]).placed;
    set(&mut fleet, "g-000", NodeState::Lost);
    let recorded: Vec<Placement> = before
        .iter()
        .map(|row| match &row.standby_home {
            Some(standby) if row.home.as_str() == "g-000" => Placement {
                home: standby.clone(),
                standby_home: None,
                ..row.clone()
            },
            _ => row.clone(),
        })
        .collect();
    let moves = plan_replacements(&fleet, &recorded, &EndedIncarnations::default());
    assert!(!moves.is_empty(), "a new standby home is assigned");
    assert!(!moves.iter().any(Move::changes_home));
    let after = apply(&recorded, &moves);
    set(&mut fleet, "g-000", NodeState::Live);
    let moves = plan_replacements(&fleet, &after, &EndedIncarnations::default());
    assert!(moves.iter().any(Move::changes_home));
    assert!(moves.iter().all(|step| !step.urgent));
    let broken = |row: &Placement| {
        shortfalls(&fleet, row)
            .iter()
            .any(|found| found.breaks_separation_rule())
    };
    assert!(!apply(&after, &moves).iter().any(broken));
}

/// If a takeover is recorded for a part of the shards of a server, the other shards get the same
/// home.
#[test]
fn partly_recorded_takeover_is_completed() {
    let mut fleet = fleet(3, 3, 2, 3);
    let mut rows = plan_initial(&fleet, &shards(36), &[]).placed;
    set(&mut fleet, "g-010", NodeState::Lost);
    let first = rows
        .iter()
        .position(|row| row.home.as_str() == "g-010")
        .unwrap();
    let owner = rows[first].owner.clone();
    let new_home = rows[first].standby_home.clone().unwrap();
    rows[first].home = new_home.clone();
    rows[first].standby_home = None;
    let moves = plan_replacements(&fleet, &rows, &EndedIncarnations::default());
    let mut homes = moves
        .iter()
        .filter(|step| step.to.owner == owner)
        .map(|step| &step.to.home);
    assert!(homes.all(|home| *home == new_home));
}

/// A home that has restarted is replaced, although its router is live.
#[test]
fn ended_home_incarnation_is_replaced() {
    let (fleet, before) = placed(36);
    let is_home = |row: &&Placement| row.home.as_str() == "g-010";
    let homes: BTreeSet<_> = before
        .iter()
        .filter(is_home)
        .map(|row| row.shard.clone())
        .collect();
    let ended = EndedIncarnations {
        homes: homes.clone(),
        ..EndedIncarnations::default()
    };
    let moves = plan_replacements(&fleet, &before, &ended);
    let found: BTreeSet<_> = moves.iter().map(|step| step.from.shard.clone()).collect();
    assert_eq!(found, homes);
    assert!(
        moves
            .iter()
            .all(|step| step.urgent && step.reason == Reason::HomeLost)
    );
    let to_standby = |step: &Move| Some(&step.to.home) == step.from.standby_home.as_ref();
    assert!(
        moves.iter().all(to_standby),
        "the standby homes become the homes"
    );
}

#[rstest]
#[case::none(0, 0)]
#[case::one_server(1, 1)]
#[case::all(9, 2)]
fn limit_counts_each_rehomed_server_once(#[case] max_moves: usize, #[case] servers: usize) {
    let (mut fleet, before) = placed(36);
    set(&mut fleet, "g-010", NodeState::Draining);
    let moves = limit_moves(
        plan_replacements(&fleet, &before, &EndedIncarnations::default()),
        max_moves,
    );
    let rehomed = moves.iter().filter(|step| step.changes_home());
    let rehomed: BTreeSet<_> = rehomed.map(|step| &step.to.owner).collect();
    assert_eq!(rehomed.len(), servers);
    let shards = before.iter().filter(|row| rehomed.contains(&row.owner));
    let moved = moves.iter().filter(|step| step.changes_home());
    assert_eq!(
        moved.count(),
        shards.count(),
        "all shards of a server move together"
    );
}

#[test]
fn limit_does_not_apply_to_urgent_moves() {
    let (mut fleet, before) = placed(36);
    set(&mut fleet, "s-000", NodeState::Lost);
    set(&mut fleet, "s-010", NodeState::Draining);
    let moves = limit_moves(
        plan_replacements(&fleet, &before, &EndedIncarnations::default()),
        1,
    );
    let move_count = |name: &str| {
        moves
            .iter()
            .filter(|step| step.from.owner.as_str() == name)
            .count()
    };
    assert_eq!((move_count("s-000"), move_count("s-010")), (2, 1));
}

#[test]
fn moves_have_cost_and_benefit() {
    let (mut fleet, before) = placed(36);
    set(&mut fleet, "s-000", NodeState::Draining);
    let mut moves = plan_replacements(&fleet, &before, &EndedIncarnations::default());
    let demand = shards(36)
        .into_iter()
        .map(|shard| Demand::of_load(shard, 200));
    let demand: Vec<Demand> = demand.collect();
    set_cost_benefit(&mut moves, &BalanceConfig::default(), &demand);
    let costs_benefits: BTreeSet<String> = moves
        .iter()
        .map(|step| format!("owner {} {}", step.changes_owner(), step.worth))
        .collect();
    let expected = ["owner false gain 200 cost 4", "owner true gain 200 cost 54"];
    assert_eq!(costs_benefits, expected.map(str::to_owned).into());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(4), ..ProptestConfig::with_cases(200) })]

    /// After any losses and drains that leave two data centres of each region intact, all
    /// placements are on live servers and routers, rule 1 of the ownership design holds, only the
    /// necessary keys move, and a second call returns no moves.
    #[test]
    fn invariants(count in 1_u32..120, states in prop::collection::vec(0_u8..3, 6), seed in 0_usize..18) {
        let (mut fleet, before) = placed(count);
        let state = |number: u8| [NodeState::Live, NodeState::Draining, NodeState::Lost][usize::from(number)];
        for (index, number) in states.iter().enumerate() {
            let at = (seed + index * 7) % fleet.servers.len();
            fleet.servers[at].state = state(*number);
        }
        fleet.routers[seed % 9].state = state(states[0]);
        let moves = plan_replacements(&fleet, &before, &EndedIncarnations::default());
        let after = apply(&before, &moves);
        let live = |row: &Placement| {
            let servers = [Some(&row.owner), row.standby.as_ref()];
            let routers = [Some(&row.home), row.standby_home.as_ref()];
            servers.into_iter().flatten().all(|id| fleet.server(id).unwrap().state == NodeState::Live)
                && routers.into_iter().flatten().all(|id| fleet.router(id).unwrap().state == NodeState::Live)
        };
        prop_assert!(after.iter().all(live));
        let broken = |row: &Placement| shortfalls(&fleet, row).iter().any(|found| found.breaks_separation_rule());
        prop_assert!(!after.iter().any(broken));
        let churn = churn(&before, &after);
        prop_assert_eq!(churn.moved, churn.least);
        prop_assert_eq!(plan_replacements(&fleet, &after, &EndedIncarnations::default()), Vec::new());
    }
}
