//! Cross-region egress under load, against the rule without shares, in virtual time.

mod egress_fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::direct::admission;
use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::egress::EgressConfig;
use carawayrill_core::direct::egress::RegionCapacity;
use carawayrill_core::direct::egress::choice;
use carawayrill_core::direct::egress::facts::EgressFacts;
use carawayrill_core::direct::egress::facts::EgressShare;
use carawayrill_core::direct::egress::table::EgressTable;
use carawayrill_core::direct::egress::table::ServiceInputs;
use carawayrill_core::direct::service_load::ServiceLoad;
use carawayrill_core::id::RegionId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use self::egress_fleet::Scenario;
use self::egress_fleet::Seen;
use self::egress_fleet::run;

/// The simulated time, in milliseconds.
const UNTIL_MS: u64 = 15_000;

fn base(bytes: u64, enabled: bool) -> Scenario {
    Scenario {
        bytes,
        link_mbps: 4_000.0,
        enabled,
        demand: |region, _| if region == 0 { 300.0 } else { 100.0 },
        servers: [5, 7, 7],
        lost: None,
        granter_lost: None,
    }
}

fn burst(region: usize, now: u64) -> f64 {
    match (region, now) {
        (0, 6_000..9_000) => 300.0,
        _ => 100.0,
    }
}

fn alternating(region: usize, now: u64) -> f64 {
    if region != 0 {
        100.0
    } else if (now / 1_000).is_multiple_of(2) {
        300.0
    } else {
        100.0
    }
}

/// Runs a scenario without shares and with them, and prints both.
fn compare(name: &str, seed: u64, make: impl Fn(bool) -> Scenario) -> (Seen, Seen) {
    let [without, with] = [false, true].map(|enabled| {
        let result = run(make(enabled), seed, UNTIL_MS);
        println!(
            "{name}, shares {enabled}: in time {:.3}, refused {} of {}, crossed {:?}, {:.0} KiB",
            result.in_time_share(),
            result.refused,
            result.offered,
            result.crossed,
            result.crossed_kib
        );
        result
    });
    (without, with)
}

/// Returns the lowest and the highest share between two times, in milliseconds.
fn range(seen: &Seen, from: usize, until: usize) -> (f64, f64) {
    let shares = &seen.shares[from / 100..until / 100];
    let least = shares.iter().copied().fold(f64::INFINITY, f64::min);
    (least, shares.iter().copied().fold(0.0, f64::max))
}

/// Guards against requests that wait or are refused in a region with too few servers while others
/// have room.
#[rstest]
fn a_region_with_too_few_servers_is_relieved(
    #[values(1_000, 500_000)] bytes: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let (without, with) = compare("too few servers", seed, |on| base(bytes, on));
    assert!(with.in_time_share() > without.in_time_share() + 0.04);
    assert!(with.in_time_share() > 0.85, "{}", with.in_time_share());
    assert_eq!(with.refused, 0);
    assert_eq!(with.crossed[1..], [0, 0], "no request comes back");
    let (least, most) = range(&with, 5_000, 15_000);
    assert!(most - least < 0.15, "the share swings: {least} to {most}");
}

/// Guards against large requests that leave for small gains.
#[rstest]
fn fewer_of_the_large_requests_leave(#[values(1, 2, 3)] seed: u64) {
    let small = run(base(1_000, true), seed, UNTIL_MS);
    let large = run(base(500_000, true), seed, UNTIL_MS);
    assert!(f64::from(large.crossed[0]) < 0.8 * f64::from(small.crossed[0]));
}

/// Guards against requests that leave although their region has servers enough.
#[rstest]
fn nothing_leaves_a_region_with_room(
    #[values(1_000, 500_000)] bytes: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let scenario = Scenario {
        demand: |_, _| 100.0,
        ..base(bytes, true)
    };
    let seen = run(scenario, seed, UNTIL_MS);
    assert_eq!((seen.refused, seen.crossed), (0, [0; 3]));
}

/// Guards against a share that follows a burst late, or drops at its end.
#[rstest]
fn a_burst_is_answered_elsewhere(
    #[values(1_000, 500_000)] bytes: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let (without, with) = compare("burst", seed, |on| Scenario {
        demand: burst,
        ..base(bytes, on)
    });
    assert!(with.in_time_share() >= without.in_time_share());
    assert!(with.in_time_share() > 0.95, "{}", with.in_time_share());
    assert_eq!(with.refused, 0);
    assert!(range(&with, 7_000, 7_100).0 > 0.1);
    let (_, peak) = range(&with, 8_000, 9_000);
    let (after, _) = range(&with, 9_000, 11_000);
    assert!(after > peak - 0.2, "it falls in steps: {peak}, {after}");
}

/// Guards against a share that swings with demand that alternates every second.
#[rstest]
fn the_share_does_not_swing_with_demand(
    #[values(1_000, 500_000)] bytes: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let (without, with) = compare("alternating", seed, |on| Scenario {
        demand: alternating,
        ..base(bytes, on)
    });
    assert!(with.in_time_share() > without.in_time_share() + 0.01);
    let (least, most) = range(&with, 5_000, 15_000);
    assert!(
        least > 0.5 * most && most - least < 0.2,
        "{least} to {most}"
    );
}

/// Guards against regions that are all short and pass their requests to each other.
#[rstest]
fn regions_that_are_short_exchange_little(
    #[values(1_000, 500_000)] bytes: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let (without, with) = compare("all short", seed, |on| Scenario {
        demand: |_, _| 300.0,
        ..base(bytes, on)
    });
    assert!(range(&with, 4_000, 15_000).1 < 0.01);
    let crossed = |seen: &Seen| seen.crossed.iter().sum::<u32>();
    assert!(crossed(&with) * 10 < crossed(&without));
    assert!(with.in_time_share() > without.in_time_share() + 0.1);
}

/// Guards against requests that are refused or late because their region was lost.
#[rstest]
#[case::listed_for_four_seconds(10_000, 0.6)]
#[case::removed_at_once(6_000, 0.99)]
fn the_share_follows_the_loss_of_a_region(
    #[case] listed_until: u64,
    #[case] share: f64,
    #[values(1_000, 500_000)] bytes: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let (_, with) = compare("region lost", seed, |on| Scenario {
        demand: |_, _| 100.0,
        lost: Some((6_000, listed_until)),
        ..base(bytes, on)
    });
    assert_eq!(with.refused, 0);
    assert!(with.in_time_share() > 0.99, "{}", with.in_time_share());
    assert!(range(&with, 7_000, 7_100).0 >= share, "after one second");
}

/// Guards against more bytes than a link carries.
#[rstest]
fn a_slow_link_is_not_filled(#[values(1, 2, 3)] seed: u64) {
    let (without, with) = compare("slow link", seed, |on| Scenario {
        link_mbps: 40.0,
        ..base(500_000, on)
    });
    let link_kib = 40.0 * 1_000_000.0 / 8.0 / 1_024.0;
    // The requests leave over two links, for 12 s. Each front draws by itself, so that a single second
    // may exceed the mean of about 5 requests for each link.
    let mean_kib = with.crossed_kib / 2.0 / 12.0;
    assert!(mean_kib < 0.6 * link_kib, "{mean_kib}");
    assert!(with.busiest_link_kib < 1.5 * link_kib);
    assert!(without.busiest_link_kib > 5.0 * link_kib);
    assert!(with.crossed_kib * 5.0 < without.crossed_kib);
    // The servers at home can't run more: callers get about the same, but refusals in place of late
    // responses.
    assert!(with.in_time_share() > without.in_time_share() - 0.02);
}

/// Guards against shares that are used after the granter was lost.
#[rstest]
fn without_the_granter_the_present_rule_applies(#[values(1, 2, 3)] seed: u64) {
    let never = |enabled| Scenario {
        granter_lost: Some(0),
        ..base(1_000, enabled)
    };
    let (without, with) = compare("no granter", seed, never);
    assert_eq!(with.crossed, without.crossed);
    assert_eq!(with.in_time, without.in_time);
    let lost = Scenario {
        granter_lost: Some(6_000),
        ..base(1_000, true)
    };
    let lost = run(lost, seed, UNTIL_MS);
    assert_eq!(lost.refused, 0);
    assert!(lost.in_time_share() > without.in_time_share());
}

fn share(region: &str, share: f64) -> EgressShare {
    EgressShare {
        service: "forms".parse().expect("a name"),
        region: region.parse().expect("a name"),
        share,
        link_full: false,
        region_full: false,
    }
}

/// Guards against shares that are used when they are too old, and against an update without any, as
/// an older build or a new granter sends it, that removes those that are known.
#[test]
fn shares_are_used_for_two_seconds() {
    let service = "forms".parse().expect("a name");
    let mut facts = EgressFacts::default();
    assert_eq!(facts.get(&service, Time(0)), None);
    facts.update(&[share("west", 0.2)], Time(1_000), Time(1_000));
    facts.update(&[], Time(2_000), Time(2_000));
    assert!(facts.get(&service, Time(2_999)).is_some());
    assert_eq!(facts.get(&service, Time(3_000)), None);
}

fn candidate(region: &str, response_ms: f64, usable: bool) -> Candidate {
    Candidate {
        server: format!("s-{region}").parse().expect("a name"),
        distance: match region {
            "east" => Distance::SameRegion,
            _ => Distance::OtherRegion,
        },
        response_ms,
        service_rounds: 1.0,
        requests_ahead: 0.0,
        slots: 4,
        failure_cost_ms: 0.0,
        usable,
    }
}

/// Guards against a request that is refused for the price of leaving, that leaves without need, or
/// that is sent where there is no capacity.
#[rstest]
#[case::stays(share("west", 0.0), 400.0, true, Some("s-east"))]
#[case::leaves(share("west", 1.0), 100.0, true, Some("s-west"))]
#[case::no_room_at_home(share("west", 0.0), 900.0, true, Some("s-west"))]
#[case::other_region_has_no_server(share("south", 1.0), 100.0, true, Some("s-east"))]
#[case::link_full(EgressShare { link_full: true, ..share("west", 0.0) }, 900.0, true, None)]
#[case::region_full(EgressShare { region_full: true, ..share("west", 0.0) }, 900.0, true, None)]
#[case::region_full_and_home_lost(
    EgressShare { region_full: true, ..share("west", 0.0) },
    100.0,
    false,
    Some("s-west")
)]
fn a_request_is_sent_by_its_share(
    #[case] share: EgressShare,
    #[case] home_ms: f64,
    #[case] home_usable: bool,
    #[case] expected: Option<&str>,
) {
    let candidates = [
        candidate("east", home_ms, home_usable),
        candidate("west", 100.0, true),
    ];
    let profile = RequestProfile {
        objective_left: Duration::from_millis(500),
        deadline_left: Duration::from_secs(2),
        size_kib: 500.0,
    };
    let west: RegionId = "west".parse().expect("a name");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let shares = [share];
    let target = choice::draw(&shares, &mut rng).cloned();
    let region = |one: &Candidate| (one.server.as_str() == "s-west").then_some(&west);
    let chosen = choice::choose(
        &candidates,
        &shares,
        target.as_ref(),
        region,
        |subset, _| admission::choose(subset, &profile, 100.0, 70, &mut rng),
    );
    let sent = match &chosen {
        Choice::Send(server) => Some(server.as_str()),
        _ => None,
    };
    assert_eq!(sent, expected);
}

fn capacity(per_second: f64, is_home: bool) -> RegionCapacity {
    RegionCapacity {
        per_second,
        slots: per_second / 10.0,
        servers: per_second / 40.0,
        is_home,
    }
}

/// Returns the shares that leave `east` with 300 requests a second there, of which `with_homes` may
/// not leave, and 100 a second in `west`.
fn steady_shares(east: f64, west: RegionCapacity, with_homes: u32) -> Vec<EgressShare> {
    let service: ServiceId = "forms".parse().expect("a name");
    let region = |name: &str| name.parse::<RegionId>().expect("a name");
    let regions = [("east", capacity(east, false)), ("west", west)];
    let regions = regions.into_iter().filter(|(_, one)| one.per_second > 0.0);
    let inputs = ServiceInputs {
        objective: Duration::from_millis(500),
        timeout: Duration::from_secs(2),
        regions: regions.map(|(name, one)| (region(name), one)).collect(),
    };
    let services = BTreeMap::from([(service.clone(), inputs)]);
    let mut table = EgressTable::new(Time(0));
    for now in (100..5_000).step_by(100) {
        for (name, offered, with_homes) in [("east", 30, with_homes / 10), ("west", 10, 0)] {
            let load = ServiceLoad {
                offered,
                with_homes,
                bytes: u64::from(offered) * 1_000,
                responses: offered,
                ..ServiceLoad::default()
            };
            table.add_report(&region(name), &service, &load);
        }
        table.update(&services, &EgressConfig::default(), Time(now));
    }
    table.shares_of(&region("east"))
}

/// Guards against requests that are sent where evacuated, cold or home servers leave no room, and
/// against a share that counts requests that may not leave.
#[test]
fn homes_evacuations_and_cold_servers_bound_the_share() {
    let share = |shares: &[EgressShare]| shares.iter().map(|one| one.share).sum::<f64>();
    let usual = share(&steady_shares(200.0, capacity(400.0, false), 0));
    assert!(usual > 0.4, "{usual}");
    assert!(
        steady_shares(200.0, capacity(0.0, false), 0).is_empty(),
        "evacuated"
    );
    let cold = share(&steady_shares(200.0, capacity(120.0, false), 0));
    assert!(cold < 0.05, "cold servers: {cold}");
    let home = share(&steady_shares(200.0, capacity(400.0, true), 0));
    assert!(home < 0.75 * usual, "a home of other routes: {home}");
    let restricted = share(&steady_shares(200.0, capacity(400.0, false), 250));
    assert!(restricted > 0.9, "all that may leave: {restricted}");
    let lost = share(&steady_shares(0.0, capacity(600.0, false), 0));
    assert!(lost > 0.99, "no server at home: {lost}");
}
