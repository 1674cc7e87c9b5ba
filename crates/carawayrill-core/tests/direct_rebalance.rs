//! Planned moves of keys under skewed demand.

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::direct::demand::KeyDemand;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::direct::rebalance::Capacities;
use carawayrill_core::direct::rebalance::HeldRange;
use carawayrill_core::direct::rebalance::balance;
use carawayrill_core::direct::rebalance::replace_holders;
use carawayrill_core::direct::rebalance::split_by_weight;
use carawayrill_core::id::ServerId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn id(number: usize) -> ServerId {
    format!("s-{number}").parse().expect("valid name")
}

fn capacities(rates: &[f64]) -> Capacities {
    let mut capacities = Capacities::default();
    for (number, rate) in rates.iter().enumerate() {
        capacities.set(id(number), *rate);
    }
    capacities
}

/// Returns an even distribution of all keys over the servers.
fn even(servers: usize) -> Vec<HeldRange> {
    let ranges = split_by_weight(&vec![1.0; servers]);
    let held_ranges = ranges
        .into_iter()
        .enumerate()
        .map(|(number, range)| HeldRange {
            range,
            server: id(number),
            movable: true,
        });
    held_ranges.collect()
}

fn demand(rates: &[(u16, u32)]) -> KeyDemand {
    let mut demand = KeyDemand::new(Duration::from_secs(1));
    for (key, rate) in rates {
        demand.add(*key, *rate * 100);
    }
    demand.advance(Duration::from_secs(100));
    demand
}

/// Applies a move to the held ranges.
fn apply(held_ranges: &mut Vec<HeldRange>, range: KeyRange, to: &ServerId) {
    let at = held_ranges
        .iter()
        .position(|held| held.range.contains(range.first))
        .expect("range exists");
    let held = held_ranges.swap_remove(at);
    assert!(
        held.range.contains(range.last),
        "a move lies within one piece"
    );
    let mut keep = |first: u16, last: u16| {
        let range = KeyRange { first, last };
        held_ranges.push(HeldRange {
            range,
            ..held.clone()
        });
    };
    if held.range.first < range.first {
        keep(held.range.first, range.first - 1);
    }
    if range.last < held.range.last {
        keep(range.last + 1, held.range.last);
    }
    held_ranges.push(HeldRange {
        range,
        server: to.clone(),
        movable: true,
    });
}

fn utilisation(held_ranges: &[HeldRange], demand: &KeyDemand, capacities: &Capacities) -> Vec<f64> {
    let mut loads: BTreeMap<ServerId, f64> = BTreeMap::new();
    for held in held_ranges {
        *loads.entry(held.server.clone()).or_default() += demand.range_rate(held.range);
    }
    loads
        .iter()
        .map(|(server, load)| load / capacities.of(server))
        .collect()
}

/// Applies plans until there are no more moves; returns the number of plans.
fn settle(held_ranges: &mut Vec<HeldRange>, demand: &KeyDemand, capacities: &Capacities) -> usize {
    for plans in 0..20 {
        let moves = balance(held_ranges, demand, capacities);
        if moves.is_empty() {
            return plans;
        }
        for planned in moves {
            apply(held_ranges, planned.range, &planned.to);
        }
    }
    panic!("the plans don't converge");
}

#[rstest]
#[case::one(&[1.0])]
#[case::many(&[1.0; 18])]
#[case::uneven(&[0.7, 0.7, 1.6])]
#[case::one_with_nearly_nothing(&[1.0, 0.000_001, 1.0])]
fn a_weighted_split_covers_all_keys_once(#[case] weights: &[f64]) {
    let ranges = split_by_weight(weights);
    assert_eq!(ranges.len(), weights.len());
    assert_eq!(ranges[0].first, 0);
    assert_eq!(ranges[ranges.len() - 1].last, u16::MAX);
    for pair in ranges.windows(2) {
        assert_eq!(pair[0].last + 1, pair[1].first);
    }
}

/// 200 adjacent keys get two fifths of the demand, as when the users of one town become active.
#[test]
fn a_hot_range_is_spread_within_two_plans() {
    let mut held_ranges = even(18);
    let capacities = capacities(&[38.0, 38.0, 87.0].repeat(6));
    let hot = (42_000..42_200).map(|key| (key, 1));
    let rest = (0..65_000).step_by(200).map(|key| (key, 1));
    let demand = demand(&hot.chain(rest).collect::<Vec<_>>());
    let before = utilisation(&held_ranges, &demand, &capacities);
    let plans = settle(&mut held_ranges, &demand, &capacities);
    let after = utilisation(&held_ranges, &demand, &capacities);
    let worst = |used: &[f64]| used.iter().copied().fold(0.0, f64::max);
    assert!(worst(&before) > 2.0, "{before:?}");
    assert!(worst(&after) < 0.85, "{after:?}");
    assert!(plans <= 3, "{plans} plans");
}

#[test]
fn a_key_that_no_server_can_serve_goes_to_the_fastest_and_stays_there() {
    let mut held_ranges = even(3);
    let capacities = capacities(&[38.0, 38.0, 87.0]);
    let demand = demand(&[(100, 140), (200, 5), (300, 5)]);
    settle(&mut held_ranges, &demand, &capacities);
    let holder = held_ranges.iter().find(|held| held.range.contains(100));
    assert_eq!(holder.expect("range exists").server, id(2));
    assert_eq!(balance(&held_ranges, &demand, &capacities), []);
}

#[test]
fn an_even_load_moves_nothing() {
    let held_ranges = even(4);
    let keys: Vec<(u16, u32)> = (0..4_000).map(|key| (key * 16, 1)).collect();
    let capacities = capacities(&[2_000.0; 4]);
    assert_eq!(balance(&held_ranges, &demand(&keys), &capacities), []);
}

#[test]
fn a_new_server_gets_keys_without_demand() {
    let mut held_ranges = even(4);
    let capacities = capacities(&[60.0; 5]);
    settle(&mut held_ranges, &demand(&[]), &capacities);
    assert!(held_ranges.iter().any(|held| held.server == id(4)));
}

#[test]
fn the_keys_of_a_leaving_server_go_to_several_servers() {
    let mut held_ranges = even(4);
    let keys: Vec<(u16, u32)> = (0..400).map(|key| (key * 160, 1)).collect();
    let demand = demand(&keys);
    let capacities = capacities(&[200.0; 4]);
    let leaving: Vec<KeyRange> = held_ranges
        .iter()
        .filter(|held| held.server == id(1))
        .map(|held| held.range)
        .collect();
    let targets = [id(0), id(2), id(3)];
    let moves = replace_holders(&leaving, &held_ranges, &targets, &demand, &capacities);
    let total: usize = moves.iter().map(|planned| planned.range.len()).sum();
    assert_eq!(
        total,
        leaving.iter().map(|range| range.len()).sum::<usize>()
    );
    for planned in moves {
        assert_ne!(planned.to, id(1));
        apply(&mut held_ranges, planned.range, &planned.to);
    }
    let used = utilisation(&held_ranges, &demand, &capacities);
    assert!(used.iter().all(|used| *used < 0.85), "{used:?}");
}

/// With hundreds of servers, each gets about four requests a second. Chance alone makes some of them
/// seem overloaded; moving keys for it would only interrupt callers.
#[test]
fn an_uneven_load_by_chance_moves_keys_of_less_than_one_server_in_a_hundred() {
    let held_ranges = even(446);
    let capacities = capacities(&[10.7; 446]);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut demand = KeyDemand::new(Duration::from_millis(1_200));
    for _interval in 0..40 {
        for _request in 0..255 {
            demand.add(rng.random_range(0..=u16::MAX), 1);
        }
        demand.advance(Duration::from_millis(150));
    }
    let moves = balance(&held_ranges, &demand, &capacities);
    assert!(moves.len() <= 4, "{} moves", moves.len());
}

/// 200 adjacent keys of one or two servers get as many requests as 55 servers can serve, as when the
/// users of one town become active. No server is overloaded on the way: its part of the hot range
/// would have to rest after the move.
#[test]
fn a_hot_range_among_hundreds_of_servers_is_spread_without_overloading_others() {
    let mut held_ranges = even(446);
    let capacities = capacities(&[10.7; 446]);
    let hot = (42_000..42_200).map(|key| (key, 3));
    let rest = (0..65_000).step_by(50).map(|key| (key, 1));
    let demand = demand(&hot.chain(rest).collect::<Vec<_>>());
    let holder = |held_ranges: &[HeldRange], key| {
        let held = held_ranges.iter().find(|held| held.range.contains(key));
        held.expect("all keys are held").server.clone()
    };
    let first_holders = [holder(&held_ranges, 42_000), holder(&held_ranges, 42_199)];
    for _plan in 0..3 {
        for planned in balance(&held_ranges, &demand, &capacities) {
            apply(&mut held_ranges, planned.range, &planned.to);
        }
        let mut loads: BTreeMap<ServerId, f64> = BTreeMap::new();
        for held in &held_ranges {
            *loads.entry(held.server.clone()).or_default() += demand.range_rate(held.range);
        }
        loads.retain(|server, _| !first_holders.contains(server));
        let worst = loads.values().copied().fold(0.0, f64::max) / 10.7;
        assert!(worst < 1.0, "{worst}");
    }
    let after = utilisation(&held_ranges, &demand, &capacities);
    let worst = after.iter().copied().fold(0.0, f64::max);
    assert!(worst < 1.0, "{worst}");
}
