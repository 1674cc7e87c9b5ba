//! Tests of initial placement: even spread, rule 1 of the ownership design, reported shortfalls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::NodeState;
use carawayrill_core::placement::Placement;
use carawayrill_core::placement::Plan;
use carawayrill_core::placement::Shortfall;
use carawayrill_core::placement::plan_initial;
use carawayrill_core::placement::shortfalls;
use placement_support::fleet;
use placement_support::shards;
use proptest::prelude::*;
use rstest::rstest;

mod placement_support;

/// Formats a plan: a line per placement, shortfall and open shard.
fn show(plan: &Plan) -> String {
    let placed = plan.placed.iter().map(ToString::to_string);
    let degraded = plan
        .degraded
        .iter()
        .map(|row| format!("{}: {}", row.shard, row.shortfall));
    let open = plan.open.iter().map(|shard| format!("{shard}: open"));
    placed
        .chain(degraded)
        .chain(open)
        .collect::<Vec<_>>()
        .join("\n")
}

fn spread<K: Ord>(keys: impl Iterator<Item = K>) -> (u32, u32) {
    let mut counts: BTreeMap<K, u32> = BTreeMap::new();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    let least = counts.values().min().copied().unwrap_or(0);
    (least, counts.values().max().copied().unwrap_or(0))
}

#[test]
fn two_regions_of_two_data_centres() {
    let plan = plan_initial(&fleet(2, 2, 1, 1), &shards(8), &[]);
    insta::assert_snapshot!(show(&plan));
}

/// With too few data centres, each unsatisfied constraint is reported.
#[rstest]
#[case::one_of_all(fleet(1, 1, 1, 1), &[Shortfall::NoStandbyServer,
    Shortfall::HomeSharesDataCentreWithOwner, Shortfall::NoStandbyHome])]
#[case::one_data_centre(fleet(1, 1, 2, 2), &[Shortfall::StandbySharesDataCentre,
    Shortfall::HomeSharesDataCentreWithOwner, Shortfall::HomeSharesDataCentreWithStandby,
    Shortfall::HomesShareDataCentre])]
#[case::two_data_centres(fleet(1, 2, 2, 1), &[Shortfall::StandbySharesDataCentre])]
#[case::two_data_centres_one_server_each(fleet(1, 2, 1, 1),
    &[Shortfall::HomeSharesDataCentreWithStandby])]
#[case::two_regions(fleet(2, 1, 1, 1), &[Shortfall::HomeOutsideRegion,
    Shortfall::HomeSharesDataCentreWithStandby])]
#[case::three_data_centres(fleet(1, 3, 1, 1), &[])]
#[case::three_regions_of_two_data_centres(fleet(3, 2, 4, 2), &[])]
fn shortfalls_are_reported(#[case] fleet: Fleet, #[case] expected: &[Shortfall]) {
    let plan = plan_initial(&fleet, &shards(24), &[]);
    let found: BTreeSet<Shortfall> = plan.degraded.iter().map(|row| row.shortfall).collect();
    assert_eq!(found, expected.iter().copied().collect());
    assert_eq!(plan.placed.len(), 24);
}

#[rstest]
#[case::no_server(fleet(1, 3, 0, 1))]
#[case::no_router(fleet(1, 3, 1, 0))]
fn without_servers_or_routers_shards_stay_open(#[case] fleet: Fleet) {
    let plan = plan_initial(&fleet, &shards(3), &[]);
    assert_eq!(plan.open, shards(3));
}

#[test]
fn owners_are_spread_by_weight() {
    let mut fleet = fleet(1, 3, 1, 1);
    fleet.servers[0].weight = 3;
    let plan = plan_initial(&fleet, &shards(50), &[]);
    let heavy = plan
        .placed
        .iter()
        .filter(|row| row.owner == fleet.servers[0].id);
    assert_eq!(heavy.count(), 30);
}

#[test]
fn draining_and_lost_servers_and_routers_get_no_shards() {
    let mut fleet = fleet(3, 2, 2, 2);
    fleet.servers[0].state = NodeState::Draining;
    fleet.servers[1].state = NodeState::Lost;
    fleet.routers[0].state = NodeState::Draining;
    fleet.routers[1].state = NodeState::Lost;
    let plan = plan_initial(&fleet, &shards(100), &[]);
    let servers: BTreeSet<_> = plan
        .placed
        .iter()
        .flat_map(|r| [Some(&r.owner), r.standby.as_ref()])
        .flatten()
        .collect();
    let routers: BTreeSet<_> = plan
        .placed
        .iter()
        .flat_map(|r| [Some(&r.home), r.standby_home.as_ref()])
        .flatten()
        .collect();
    assert!(
        fleet.servers[..2]
            .iter()
            .all(|row| !servers.contains(&row.id))
    );
    assert!(
        fleet.routers[..2]
            .iter()
            .all(|row| !routers.contains(&row.id))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(6), ..ProptestConfig::with_cases(200) })]

    /// If a block has fewer shards than a data centre, its shards are in at most two data
    /// centres.
    #[test]
    fn shards_of_a_block_are_in_few_data_centres(servers in 1_u32..4, routers in 1_u32..3) {
        let fleet = fleet(2, 3, servers, routers);
        let plan = plan_initial(&fleet, &shards(6 * 32), &[]);
        for block in plan.placed.chunks(24) {
            let owner = |row: &Placement| fleet.server(&row.owner).unwrap().data_centre.clone();
            let centres: BTreeSet<_> = block.iter().map(owner).collect();
            prop_assert!(centres.len() <= 2);
        }
    }

    /// With three data centres per region there is no shortfall. Owners are evenly spread, all
    /// shards of a server have one home, the order of the rows does not matter, and a second call
    /// places nothing.
    #[test]
    fn invariants(regions in 1_u32..4, centres in 3_u32..5, servers in 1_u32..4, routers in 1_u32..4, count in 1_u32..300) {
        let mut fleet = fleet(regions, centres, servers, routers);
        let plan = plan_initial(&fleet, &shards(count), &[]);
        prop_assert!(plan.degraded.is_empty(), "{}", show(&plan));
        prop_assert!(plan.placed.iter().all(|row| shortfalls(&fleet, row).is_empty()));
        let (least, most) = spread(plan.placed.iter().map(|row| &row.owner));
        prop_assert!(most - least <= 1);
        let homes: BTreeMap<_, _> = plan.placed.iter().map(|row| (&row.owner, &row.home)).collect();
        prop_assert!(plan.placed.iter().all(|row| homes[&row.owner] == &row.home));
        fleet.servers.reverse();
        fleet.routers.reverse();
        prop_assert_eq!(&plan_initial(&fleet, &shards(count), &[]), &plan);
        let part: Vec<Placement> = plan.placed.iter().take(plan.placed.len() / 2).cloned().collect();
        let rest = plan_initial(&fleet, &shards(count), &part);
        prop_assert_eq!(rest.placed.len() + part.len(), plan.placed.len());
        prop_assert!(plan_initial(&fleet, &shards(count), &plan.placed).placed.is_empty());
    }
}
