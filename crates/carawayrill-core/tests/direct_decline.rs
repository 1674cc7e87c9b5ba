//! Servers that refuse requests although they have free slots.

use std::time::Duration;

use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::decline::BorneQueues;
use carawayrill_core::direct::decline::Declines;
use carawayrill_core::direct::load::AttemptResult;
use carawayrill_core::direct::load::LoadReport;
use carawayrill_core::direct::load::ServerLoad;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// The share of requests that the server declines.
const DECLINED_SHARE: f64 = 0.55;
/// The requests that are played.
const REQUESTS: usize = 10_000;
/// The least share of requests that pass the server.
const MIN_SERVED_SHARE: f64 = 0.9;

fn id(number: u16) -> ServerId {
    format!("s-{number}").parse().expect("a name")
}

fn service() -> ServiceId {
    "forms".parse().expect("a name")
}

fn candidate(number: u16, usable: bool) -> Candidate {
    Candidate {
        server: id(number),
        distance: Distance::SameDataCentre,
        response_ms: 100.0,
        service_rounds: 1.0,
        requests_ahead: 0.0,
        slots: 4,
        failure_cost_ms: 0.0,
        usable,
    }
}

fn report(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 4,
        pace: None,
    }
}

#[rstest]
#[case::idle(Some(report(0, 0)), true)]
#[case::one_slot_free(Some(report(3, 0)), true)]
#[case::all_slots_used(Some(report(4, 0)), false)]
#[case::requests_wait(Some(report(4, 2)), false)]
#[case::unknown(None, false)]
fn a_reported_free_slot_tells_a_decline_from_overload(
    #[case] refused_with: Option<LoadReport>,
    #[case] had_room: bool,
) {
    let queues = BorneQueues::default();
    assert_eq!(queues.had_room(&service(), refused_with), had_room);
}

/// Guards against taking a refusal for overload at a load that servers of the service bear well, and
/// a refusal of a full server for chance.
#[rstest]
#[case::half_of_the_queue(3, true)]
#[case::most_of_the_queue(4, false)]
#[case::the_whole_queue(8, false)]
fn a_short_queue_tells_a_decline_from_overload(#[case] waiting: u32, #[case] had_room: bool) {
    let mut queues = BorneQueues::default();
    queues.record(&service(), report(4, 8));
    queues.record(&service(), report(4, 1));
    let refused_with = Some(report(4, waiting));
    assert_eq!(queues.had_room(&service(), refused_with), had_room);
}

/// Guards against leaving an owner alone for a while that would run the next request.
#[test]
fn a_server_that_declines_stays_in_use() {
    let mut load = ServerLoad::new(4, Duration::ZERO, Some(100.0), Time(0));
    load.begin_request();
    load.end_request(Time(10), AttemptResult::Declined, Duration::ZERO, 0.0);
    assert!(load.accepts(Time(10)));
    assert!(load.failure_rate(Time(10)) > 0.0);
    load.begin_request();
    load.end_request(Time(20), AttemptResult::Shed, Duration::ZERO, 0.0);
    assert!(!load.accepts(Time(20)));
}

/// Guards against refusing most requests of a service whose servers all decline half of what they
/// get.
#[test]
fn most_requests_pass_servers_that_decline_more_than_half() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut served = 0;
    for _request in 0..REQUESTS {
        let mut declines = Declines::default();
        while declines.may_repeat() {
            if !rng.random_bool(DECLINED_SHARE) {
                served += 1;
                break;
            }
            declines.record(id(1));
        }
    }
    assert!(
        f64::from(served) > MIN_SERVED_SHARE * REQUESTS as f64,
        "{served}"
    );
}

#[rstest]
#[case::another_server_first(true, vec![candidate(1, true), candidate(2, true)], vec![id(2)])]
#[case::no_further_server_allowed(false, vec![candidate(1, true), candidate(2, true)], vec![id(1)])]
#[case::the_other_is_not_usable(true, vec![candidate(1, true), candidate(2, false)], vec![id(1)])]
#[case::the_only_server(true, vec![candidate(1, true)], vec![id(1)])]
fn the_next_server_is_within_the_allowed_number(
    #[case] may_use_others: bool,
    #[case] mut candidates: Vec<Candidate>,
    #[case] expected: Vec<ServerId>,
) {
    let mut declines = Declines::default();
    declines.record(id(1));
    declines.restrict(&mut candidates, may_use_others);
    let left: Vec<ServerId> = candidates.into_iter().map(|one| one.server).collect();
    assert_eq!(left, expected);
}
