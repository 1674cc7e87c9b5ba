//! Priority between the routes that share a service.

mod priority_fleet;

use std::time::Duration;

use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::admission::choose;
use carawayrill_core::direct::admission::choose_with_reserve;
use carawayrill_core::direct::homes::Homes;
use carawayrill_core::direct::manifest::Destination;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::manifest::Route;
use carawayrill_core::direct::priority::classes::Class;
use carawayrill_core::direct::priority::classes::SharedServices;
use carawayrill_core::direct::priority::reserve::Reserve;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use self::priority_fleet::Ended;
use self::priority_fleet::Fleet;
use self::priority_fleet::Settings;
use self::priority_fleet::class;

fn route(priority: u32, objective_ms: u64, weights: &[(&str, u32)]) -> Route {
    Route {
        name: format!("p{priority}").as_str().into(),
        host: "pay.example".into(),
        prefix: format!("/{priority}/").as_str().into(),
        destinations: weights
            .iter()
            .map(|(service, weight)| Destination {
                service: service.parse().expect("valid name"),
                weight: *weight,
            })
            .collect(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_millis(2 * objective_ms),
        objective: Duration::from_millis(objective_ms),
        max_tries: 2,
        priority,
        homes: Homes::default(),
    }
}

fn shared(routes: Vec<Route>) -> SharedServices {
    SharedServices::new(&Manifest {
        routes,
        ..Manifest::default()
    })
}

fn classes_of(shared: &SharedServices) -> Vec<Class> {
    shared.classes(&"pay".parse().expect("valid name")).to_vec()
}

/// Guards against a decision for a service that only routes of one priority use.
#[rstest]
#[case::one_route(vec![route(0, 500, &[("pay", 1)])])]
#[case::same_priority(vec![route(1, 500, &[("pay", 1)]), route(1, 900, &[("pay", 1)])])]
#[case::other_services(vec![route(0, 500, &[("pay", 1)]), route(2, 900, &[("mail", 1)])])]
#[case::without_weight(vec![
    route(0, 500, &[("pay", 1)]),
    route(2, 900, &[("pay", 0), ("mail", 1)]),
])]
fn a_service_without_routes_of_different_priority_is_not_shared(#[case] routes: Vec<Route>) {
    assert_eq!(classes_of(&shared(routes)), []);
}

#[test]
fn a_class_has_the_shortest_objective_of_its_routes() {
    let shared = shared(vec![
        route(2, 2_000, &[("pay", 1)]),
        route(0, 500, &[("pay", 9), ("mail", 1)]),
        route(0, 300, &[("pay", 1)]),
    ]);
    assert_eq!(classes_of(&shared), [class(0, 300), class(2, 2_000)]);
    let service = "pay".parse().expect("valid name");
    assert_eq!(shared.more_urgent(&service, 0), []);
    assert_eq!(shared.more_urgent(&service, 1), [class(0, 300)]);
    assert_eq!(shared.more_urgent(&service, 2), [class(0, 300)]);
}

fn candidate(slots: u32, ahead: f64, service_ms: f64) -> Candidate {
    let service_rounds = ((ahead + 1.0) / f64::from(slots)).max(1.0);
    Candidate {
        server: "s-1".parse().expect("valid name"),
        distance: Distance::SameDataCentre,
        response_ms: service_ms * service_rounds,
        service_rounds,
        requests_ahead: ahead,
        slots,
        failure_cost_ms: 0.0,
        usable: true,
    }
}

/// Guards against a queue that is too long for the next urgent request, and against a server that
/// is idle because nothing less urgent may be sent to it.
#[rstest]
#[case::idle(4, 0.0, 150.0, 500, true)]
#[case::idle_with_two_slots(2, 0.0, 150.0, 500, true)]
#[case::idle_with_one_slot(1, 0.0, 150.0, 200, true)]
#[case::half_of_the_limit(4, 6.0, 150.0, 500, true)]
#[case::urgent_would_meet_the_objective_without_margin(4, 8.0, 150.0, 500, false)]
#[case::urgent_would_be_late(4, 11.0, 150.0, 500, false)]
#[case::two_slots(2, 3.0, 150.0, 500, false)]
#[case::longer_objective_but_too_many_rounds(4, 8.0, 150.0, 5_000, false)]
#[case::objective_of_one_service_time(4, 2.0, 150.0, 180, false)]
#[case::objective_below_the_service_time(4, 2.0, 150.0, 100, false)]
fn a_less_urgent_request_leaves_room_for_the_next_urgent_one(
    #[case] slots: u32,
    #[case] ahead: f64,
    #[case] service_ms: f64,
    #[case] objective_ms: u64,
    #[case] expected: bool,
) {
    let urgent = [class(0, objective_ms)];
    let candidate = candidate(slots, ahead, service_ms);
    assert_eq!(Reserve::new(&urgent).allows(&candidate), expected);
    assert!(Reserve::new(&[]).allows(&candidate));
}

#[test]
fn a_request_is_refused_as_reserved_only_if_it_would_otherwise_be_sent() {
    let urgent = [class(0, 500)];
    let profile = class(2, 2_000).new_request();
    let choice = |ahead: f64| {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let candidates = [candidate(4, ahead, 150.0)];
        choose_with_reserve(
            &candidates,
            &profile,
            &Reserve::new(&urgent),
            150.0,
            70,
            &mut rng,
        )
    };
    assert!(matches!(choice(2.0), Choice::Send(_)));
    assert!(matches!(choice(9.0), Choice::Reserved(_)));
    assert!(matches!(choice(40.0), Choice::Full(_)));
}

#[test]
fn a_less_urgent_request_is_told_to_return_later() {
    let classes = [class(0, 500), class(1, 900)];
    let mean_ms = |reserve: Reserve<'_>| {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let waits = (0..1_000).map(|_| reserve.retry_after(150.0, &mut rng).as_secs_f64());
        waits.sum::<f64>()
    };
    let one = mean_ms(Reserve::new(&classes[..1]));
    let two = mean_ms(Reserve::new(&classes));
    assert!(two > 1.5 * one, "{one} {two}");
}

/// Guards against a change for services that only routes of one priority use: the same random
/// numbers lead to the same choices.
#[test]
fn without_a_shared_service_the_choice_is_the_same() {
    let mut inputs = ChaCha8Rng::seed_from_u64(7);
    let not_shared = shared(vec![route(3, 500, &[("pay", 1)])]);
    let service = "pay".parse().expect("valid name");
    for round in 0..2_000 {
        let candidates: Vec<Candidate> = (0..inputs.random_range(0..12))
            .map(|index| Candidate {
                server: format!("s-{index}").parse().expect("valid name"),
                usable: inputs.random_bool(0.9),
                ..candidate(
                    inputs.random_range(2..=4),
                    inputs.random_range(0.0..16.0),
                    inputs.random_range(20.0..400.0),
                )
            })
            .collect();
        let profile = RequestProfile {
            objective_left: Duration::from_millis(inputs.random_range(0..2_000)),
            deadline_left: Duration::from_millis(inputs.random_range(0..4_000)),
            size_kib: inputs.random_range(0.0..100.0),
        };
        let reserve = Reserve::new(not_shared.more_urgent(&service, 3));
        let (mut one, mut other) = (
            ChaCha8Rng::seed_from_u64(round),
            ChaCha8Rng::seed_from_u64(round),
        );
        assert_eq!(
            choose_with_reserve(&candidates, &profile, &reserve, 100.0, 70, &mut one),
            choose(&candidates, &profile, 100.0, 70, &mut other),
        );
    }
}

fn shares(ended: &[Ended]) -> (f64, f64) {
    (ended[0].share_in_time(), ended[1].share_in_time())
}

/// Guards against urgent requests that are late because less urgent ones fill the queues.
#[rstest]
fn urgent_requests_are_served_at_least_as_often_in_bursts(#[values(1, 2, 3)] seed: u64) {
    let without = Fleet::new(Settings::example(false, seed)).run();
    let with = Fleet::new(Settings::example(true, seed)).run();
    let (urgent, other) = shares(&with);
    assert!(urgent >= other, "{with:?}");
    assert!(urgent > shares(&without).0, "{without:?} {with:?}");
}
