//! Fronts that keep to the rate of a cold server, in virtual time: what the server gets in each
//! second while the granter is lost and fronts join, and what callers get.

mod cold_fleet;

use std::time::Duration;

use carawayrill_core::direct::cold::ColdServers;
use carawayrill_core::direct::cold::Origin;
use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::limit::ColdStatement;
use carawayrill_core::direct::limit::LimitDivision;
use carawayrill_core::direct::limit::LimitStatement;
use carawayrill_core::direct::limit::RequestRate;
use carawayrill_core::direct::limit::ServerLimits;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use rstest::rstest;

use self::cold_fleet::Demand;
use self::cold_fleet::Fleet;
use self::cold_fleet::Trouble;
use self::cold_fleet::bound;

fn server() -> ServerId {
    "s-1".parse().expect("a name")
}

fn cold(milli_rate: u64, left_ms: u64) -> ColdStatement {
    ColdStatement {
        rate: RequestRate(milli_rate),
        left: Duration::from_millis(left_ms),
    }
}

/// Guards against a cold server that crashes because the fronts together send it too much in a
/// second.
#[rstest]
fn a_cold_server_gets_no_more_than_the_bound(
    #[values(11, 300)] fronts: usize,
    #[values(4_900, 6_100)] milli_rate: u64,
    #[values(Demand::Even, Demand::FewFronts, Demand::Bursts, Demand::Busy)] demand: Demand,
    #[values(
        Trouble::None,
        Trouble::GranterLost,
        Trouble::NoGranter,
        Trouble::FrontsJoin,
        Trouble::GranterLostAndFrontsJoin
    )]
    trouble: Trouble,
    #[values(1, 2, 3)] seed: u64,
) {
    let rate = RequestRate(milli_rate);
    let fleet = Fleet::new(fronts, rate, trouble, seed).run(demand);
    let most = fleet.most_in_a_second();
    assert!(most <= bound(rate), "{most} in a second");
}

/// Guards against a limit that is kept by sending the server next to nothing: if each front has
/// requests for it, it gets a good part of its rate.
#[rstest]
fn callers_get_what_a_cold_server_can_do(
    #[values(11, 300)] fronts: usize,
    #[values(4_900, 6_100)] milli_rate: u64,
    #[values(Trouble::None, Trouble::GranterLostAndFrontsJoin)] trouble: Trouble,
) {
    let fleet = Fleet::new(fronts, RequestRate(milli_rate), trouble, 1).run(Demand::Busy);
    assert!(fleet.used() >= 0.5, "{} of the rate is used", fleet.used());
}

/// Guards against callers that are refused, and cold servers that are overrun, when a data centre
/// returns cold while others carry the load.
#[rstest]
fn a_data_centre_returns_cold(
    #[values(11, 300)] fronts: usize,
    #[values(4_900, 6_100)] milli_rate: u64,
    #[values(Trouble::None, Trouble::GranterLostAndFrontsJoin)] trouble: Trouble,
) {
    let rate = RequestRate(milli_rate);
    let fleet = Fleet::with_servers(fronts, rate, trouble, 1, 10, 40).run(Demand::Busy);
    let most = fleet.most_in_a_second();
    assert!(most <= bound(rate), "{most} in a second at one server");
    assert_eq!(fleet.refused, 0);
    assert!(fleet.served_warm > 0);
}

/// Guards against permits that were saved up while a server was warm and are spent once it is cold.
#[test]
fn permits_that_were_saved_up_do_not_count_for_a_cold_server() {
    let mut limits = ServerLimits::default();
    limits.confirm_fronts();
    let named = LimitStatement {
        server: server(),
        born: Born(1),
        limit: Some(RequestRate(50_000)),
        age: Duration::ZERO,
        cold: None,
    };
    assert!(limits.record(&named, 1, 0.0, Time(1_000)));
    assert!(limits.allows(&server(), Time(3_000)));
    assert!(limits.record_cold(&server(), Born(1), cold(4_900, 3_000), 1, 0.0, Time(3_000)));
    assert!(!limits.allows(&server(), Time(3_000)));
    assert_eq!(limits.get(&server(), Time(3_000)), Some(RequestRate(4_900)));
    assert_eq!(
        limits.get(&server(), Time(6_000)),
        Some(RequestRate(50_000))
    );
}

/// Guards against a limit that outlives the cold time at a front or at the granter.
#[test]
fn the_end_of_the_cold_time_is_known_at_once() {
    let mut limits = ServerLimits::default();
    let mut granter = LimitDivision::new(2, Time(0));
    limits.confirm_fronts();
    assert!(limits.record_cold(&server(), Born(1), cold(4_900, 3_000), 2, 0.0, Time(5_000)));
    for report in limits.take_reports(Time(5_100)) {
        granter.add_report(&"front-1".into(), &report, Time(5_100));
    }
    assert_eq!(granter.shares_of("front-2", 2, Time(5_200)).len(), 1);
    assert!(!limits.allows(&server(), Time(5_000)));
    assert!(limits.allows(&server(), Time(8_000)));
    let changed = limits.refresh(2, Time(8_000));
    assert_eq!(changed, vec![(server(), None)]);
    assert!(!limits.contains(&server()));
    granter.expire(Time(8_100));
    assert!(granter.shares_of("front-2", 2, Time(8_100)).is_empty());
}

/// Guards against a front that starts alone, does not know the others, and takes a full share.
#[test]
fn a_front_that_does_not_know_how_many_there_are_sends_nothing_to_a_cold_server() {
    let mut limits = ServerLimits::default();
    assert!(limits.record_cold(
        &server(),
        Born(1),
        cold(4_900, 30_000),
        12,
        0.9,
        Time(1_000)
    ));
    limits.refresh(12, Time(5_000));
    assert!(!limits.allows(&server(), Time(6_000)));
    limits.confirm_fronts();
    limits.refresh(12, Time(6_000));
    assert!(limits.allows(&server(), Time(6_400)));
}

/// Guards against the word of a former incarnation on the next one, and against losing the limit of
/// a server that restarts cold under the same id.
#[test]
fn a_server_that_restarts_under_the_same_id_is_cold_again() {
    let mut limits = ServerLimits::default();
    assert!(limits.record_cold(&server(), Born(1), cold(4_900, 3_000), 2, 0.0, Time(1_000)));
    limits.remove(&server());
    assert!(limits.record_cold(&server(), Born(2), cold(4_900, 3_000), 2, 0.0, Time(3_000)));
    assert!(!limits.record_cold(&server(), Born(1), cold(4_900, 9_000), 2, 0.0, Time(3_100)));
    assert_eq!(limits.get(&server(), Time(5_999)), Some(RequestRate(4_900)));
    assert_eq!(limits.get(&server(), Time(6_000)), None);
}

/// Guards against an end that moves on because the granter and the fronts relay it to each other
/// late, and against entries that count down and end the time early.
#[test]
fn relayed_and_counted_down_words_do_not_move_the_end() {
    let mut table = ColdServers::default();
    let record = |table: &mut ColdServers, left, origin, now| {
        table.record(
            &server(),
            Born(1),
            Duration::from_millis(left),
            origin,
            Time(now),
        )
    };
    record(&mut table, 3_000, Origin::Server, 1_000);
    record(&mut table, 2_000, Origin::Relayed, 2_200);
    record(&mut table, 1_000, Origin::Server, 2_500);
    assert!(!table.left(&server(), Born(1), Time(3_999)).is_zero());
    assert!(table.left(&server(), Born(1), Time(4_000)).is_zero());
    record(&mut table, 3_000, Origin::Relayed, 5_000);
    assert!(!table.left(&server(), Born(1), Time(7_999)).is_zero());
}

/// Guards against keys that all return at the moment at which servers are warm again.
#[test]
fn the_capacity_of_a_cold_server_grows_back_steadily() {
    let mut table = ColdServers::default();
    let cold_for = Duration::from_secs(3);
    table.record(&server(), Born(1), cold_for, Origin::Server, Time(1_000));
    let capacity = |at| table.capacity(&server(), Born(1), 24.9, 4.9, Time(at));
    let grown: Vec<f64> = [1_500, 4_000, 5_000, 6_000, 9_000].map(capacity).into();
    let expected = [4.9, 4.9, 14.9, 24.9, 24.9];
    for (grown, expected) in grown.iter().zip(expected) {
        assert!(
            (grown - expected).abs() < 1e-9,
            "{grown} and not {expected}"
        );
    }
}

/// Guards against a granter of an older build, which takes a cold server without a named limit for
/// one whose limit has ended, and assigns a share of nothing.
#[test]
fn the_share_of_a_granter_that_knows_of_no_cold_servers_is_not_applied() {
    let mut limits = ServerLimits::default();
    limits.confirm_fronts();
    assert!(limits.record_cold(&server(), Born(1), cold(4_900, 9_000), 1, 0.9, Time(5_000)));
    let mut report = limits.take_reports(Time(5_000)).remove(0);
    report.statement.cold = None;
    let mut granter = LimitDivision::default();
    granter.add_report(&"front-1".into(), &report, Time(5_000));
    for share in granter.shares_of("front-1", 1, Time(5_000)) {
        assert!(!limits.apply_share(&share, 1, 0.9, Time(5_000)));
    }
    limits.refresh(1, Time(5_000));
    assert!(limits.allows(&server(), Time(5_100)));
    assert_eq!(limits.get(&server(), Time(5_100)), Some(RequestRate(4_900)));
}
