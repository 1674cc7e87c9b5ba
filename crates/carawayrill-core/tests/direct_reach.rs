//! Fronts that are cut off from all servers: when they notice, and who takes their requests.

mod reach_fleet;

use std::time::Duration;

use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::load::AttemptResult;
use carawayrill_core::direct::load::ServerLoad;
use carawayrill_core::direct::reach::Detours;
use carawayrill_core::direct::reach::Peer;
use carawayrill_core::direct::reach::PeerTable;
use carawayrill_core::direct::reach::ReachChange;
use carawayrill_core::direct::reach::ServerReach;
use carawayrill_core::direct::reach::choose_peers;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reach_fleet::Cut;
use reach_fleet::Fleet;
use rstest::rstest;

fn server(number: usize) -> ServerId {
    format!("i-{number}").parse().expect("a name")
}

fn peer(number: usize, data_centre: &str) -> Peer {
    Peer {
        front: format!("front-{number}").into(),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        data_centre: data_centre.parse().expect("a name"),
    }
}

#[test]
fn a_front_is_cut_off_after_three_servers_and_until_it_reaches_one() {
    let mut reach = ServerReach::default();
    assert_eq!(reach.record_failed(&server(1), 50, Time(100)), None);
    assert_eq!(reach.record_failed(&server(1), 50, Time(110)), None);
    assert_eq!(reach.record_failed(&server(2), 50, Time(120)), None);
    let lost = reach.record_failed(&server(3), 50, Time(130));
    assert_eq!(lost, Some(ReachChange::Lost(3)));
    assert!(reach.is_cut_off());
    assert_eq!(reach.record_failed(&server(4), 50, Time(140)), None);
    let regained = reach.record_connected(Time(1_130));
    let after = Duration::from_secs(1);
    assert_eq!(regained, Some(ReachChange::Regained(after)));
    assert!(!reach.is_cut_off());
}

#[rstest]
#[case::not_reached(AttemptResult::Unreachable, true)]
#[case::overloaded(AttemptResult::Shed, false)]
fn only_the_failures_of_the_front_itself_are_forgotten_when_it_reaches_servers_again(
    #[case] result: AttemptResult,
    #[case] is_forgotten: bool,
) {
    let mut load = ServerLoad::new(4, Duration::ZERO, None, Time(0));
    for _attempt in 0..6 {
        load.begin_request();
        load.end_request(Time(100), result, Duration::ZERO, 0.0);
    }
    assert!(!load.accepts(Time(1_000)));
    load.forget_unreached();
    assert_eq!(load.accepts(Time(1_000)), is_forgotten);
    assert!(!load.is_unreached());
}

// A connection that was open before a cut carries a response as soon as the cut ends.
#[test]
fn a_server_that_answers_is_not_refused_for_connections_that_could_not_be_opened_before() {
    let mut load = ServerLoad::new(4, Duration::ZERO, None, Time(0));
    for _attempt in 0..6 {
        load.begin_request();
    }
    for _attempt in 0..5 {
        load.end_request(
            Time(400),
            AttemptResult::Unreachable,
            Duration::from_millis(400),
            0.0,
        );
    }
    assert!(!load.accepts(Time(1_000)));
    load.end_request(
        Time(1_000),
        AttemptResult::Served,
        Duration::from_secs(1),
        0.0,
    );
    assert!(load.accepts(Time(1_000)));
    assert!(!load.is_unreached());
}

#[test]
fn a_peer_that_does_not_answer_gets_no_further_requests_while_others_answer() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut peers = PeerTable::default();
    let all: Vec<Peer> = (0..4).map(|number| peer(number, "a-1")).collect();
    peers.set(all.clone());
    let mut to_silent = 0;
    for request in 0..200 {
        if request == 100 {
            // The granter names the same fronts again.
            peers.set(all.clone());
        }
        let chosen = peers.choose(&[], Time(0), &mut rng).expect("a peer");
        peers.record_sent(&chosen.front);
        if chosen.front == "front-2" {
            to_silent += 1;
        } else {
            peers.record_ended(&chosen.front);
        }
    }
    assert_eq!(to_silent, 1);
}

#[test]
fn requests_that_no_front_can_serve_are_passed_on_only_now_and_then() {
    let service = "forms".parse().expect("a name");
    let mut detours = Detours::default();
    let mut passed_on = 0;
    for request in 0..1_000 {
        let now = Time(request);
        if detours.try_acquire(&service, now) {
            passed_on += 1;
            detours.record(&service, false, now);
        }
    }
    assert_eq!(passed_on, 6);
    detours.record(&service, true, Time(1_000));
    assert!((0..100).all(|_| detours.try_acquire(&service, Time(1_000))));
    let other = "signs".parse().expect("a name");
    assert!(detours.try_acquire(&other, Time(0)));
}

#[test]
fn servers_that_crash_one_by_one_cut_off_nobody() {
    let mut reach = ServerReach::default();
    for number in 0..20 {
        let now = Time(100 * u64::try_from(number).expect("fits"));
        assert_eq!(reach.record_failed(&server(number), 50, now), None);
        assert_eq!(reach.record_connected(now), None);
    }
}

#[test]
fn old_failures_count_no_more() {
    let mut reach = ServerReach::default();
    for (number, at) in [(1, 100), (2, 2_000), (3, 4_000), (4, 6_000)] {
        assert_eq!(reach.record_failed(&server(number), 50, Time(at)), None);
    }
}

/// Requests of other services may use connections that live on.
#[rstest]
#[case::two(2)]
#[case::one(1)]
fn two_servers_of_a_small_service_are_enough(#[case] of_service: usize) {
    let mut reach = ServerReach::default();
    assert_eq!(reach.record_failed(&server(1), of_service, Time(100)), None);
    let lost = reach.record_failed(&server(2), of_service, Time(110));
    assert_eq!(lost, Some(ReachChange::Lost(2)));
}

/// Data centres `a` and `b` are one region.
fn distance(to: &DataCentreId) -> Distance {
    match to.as_str() {
        "a" => Distance::SameDataCentre,
        "b" => Distance::SameRegion,
        _ => Distance::OtherRegion,
    }
}

#[rstest]
#[case::near_and_elsewhere(
    &[peer(1, "a"), peer(2, "a"), peer(3, "a"), peer(4, "b"), peer(5, "c")], &["a", "a", "b", "c"]
)]
#[case::one_data_centre(&[peer(1, "a"), peer(2, "a"), peer(3, "a")], &["a", "a", "a"])]
#[case::not_itself(&[peer(0, "a"), peer(5, "c")], &["c"])]
#[case::nobody(&[], &[])]
fn peers_are_near_and_not_all_in_one_data_centre(
    #[case] others: &[Peer],
    #[case] expected: &[&str],
) {
    let peers = choose_peers("front-0", others.iter(), distance);
    let places: Vec<&str> = peers.iter().map(|peer| peer.data_centre.as_str()).collect();
    assert_eq!(places, expected);
}

#[test]
fn a_peer_that_was_not_reached_is_passed_over_for_a_while() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut peers = PeerTable::default();
    peers.set(vec![peer(1, "a"), peer(2, "b")]);
    peers.record_failed("front-1", Time(100));
    let chosen = peers.choose(&[], Time(200), &mut rng);
    assert_eq!(chosen, Some(peer(2, "b")));
    assert_eq!(peers.choose(&["front-2".into()], Time(200), &mut rng), None);
    let chosen = peers.choose(&["front-2".into()], Time(600), &mut rng);
    assert_eq!(chosen, Some(peer(1, "a")));
}

/// From 3 s after the cut, callers of cut fronts are served as often as the others, and no peer gets
/// more than a few times its own requests.
#[rstest]
fn a_fleet_serves_the_callers_of_fronts_that_are_cut_off(
    #[values(11, 300)] fronts: usize,
    #[values(
        Cut::OneFront,
        Cut::Granter,
        Cut::MostOfADataCentre,
        Cut::HalfOfTheFleet
    )]
    cut: Cut,
    #[values(5, 400)] connect_ms: u64,
) {
    let outcome = Fleet::new(fronts, cut, Duration::from_millis(connect_ms)).run();
    assert!(outcome.served_of_cut >= 0.99, "{outcome:?}");
    assert!(outcome.max_load <= 4.0, "{outcome:?}");
    insta::assert_json_snapshot!(format!("fleet_{fronts}_{cut:?}_{connect_ms}ms"), outcome);
}
