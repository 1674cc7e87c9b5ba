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
use carawayrill_core::direct::priority::classes::contending;
use carawayrill_core::direct::priority::queue::NoRoom;
use carawayrill_core::direct::priority::queue::WaitQueue;
use carawayrill_core::direct::priority::queue::Waiter;
use carawayrill_core::direct::priority::reserve::Reserve;
use carawayrill_core::direct::priority::shares::ClassCounts;
use carawayrill_core::direct::priority::shares::KnownShares;
use carawayrill_core::direct::priority::shares::ShareTable;
use carawayrill_core::direct::priority::waiting::may_wait;
use carawayrill_core::direct::priority::waiting::send_by;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
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

/// Guards against refusing requests that can't wait either, for the sake of slightly more urgent ones.
#[rstest]
#[case::can_wait(&[(0, 500), (2, 2_000)], &[0, 2])]
#[case::objectives_are_near(&[(0, 500), (1, 800)], &[])]
#[case::one_of_three_can_wait(&[(0, 500), (1, 800), (2, 2_000)], &[0, 2])]
#[case::the_urgent_one_can_wait_longer(&[(0, 2_000), (2, 500)], &[])]
fn a_class_gives_way_only_if_its_objective_is_much_longer(
    #[case] objectives: &[(u32, u64)],
    #[case] expected: &[u32],
) {
    let classes: Vec<Class> = objectives
        .iter()
        .map(|(priority, objective_ms)| class(*priority, *objective_ms))
        .collect();
    let contending = contending(&classes);
    let priorities: Vec<u32> = contending.iter().map(|class| class.priority).collect();
    assert_eq!(priorities, expected);
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
#[case::third_of_the_limit(4, 4.0, 150.0, 500, true)]
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
    let mean_ms = |reserve: Reserve| {
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
    assert!(urgent > 0.8 && other > 0.7, "{with:?}");
}

/// Guards against a class that starves: the urgent requests alone need more than all servers.
#[rstest]
fn no_class_starves_when_urgent_requests_fill_the_servers(#[values(1, 2, 3)] seed: u64) {
    let mut settings = Settings::example(true, seed);
    settings.routes[0].per_second = 900.0;
    settings.routes[0].burst = 1.0;
    let ended = Fleet::new(settings).run();
    let (urgent, other) = shares(&ended);
    assert!(other > 0.03, "{ended:?}");
    assert!(urgent > 0.3, "{ended:?}");
}

fn waiter(priority: u32, received: u64, objective_ms: u64) -> Waiter {
    Waiter {
        priority,
        received: Time(received),
        objective: Time(received + objective_ms),
        send_by: Time(received + objective_ms - 100),
        is_excess: false,
        bytes: 1_000,
    }
}

fn pay() -> ServiceId {
    "pay".parse().expect("valid name")
}

/// Takes the requests out of a queue in its order at `now`, and returns their positions of arrival.
fn order_at(now: u64, waiters: Vec<Waiter>) -> Vec<usize> {
    let mut queue = WaitQueue::default();
    let tickets: Vec<_> = waiters
        .into_iter()
        .map(|waiter| queue.add(&pay(), waiter, Time(0)).expect("room"))
        .collect();
    let mut order = Vec::new();
    queue.begin_wake_up();
    while let Some(next) = queue.next(&pay(), Time(now)) {
        queue.remove(&pay(), next);
        order.extend(tickets.iter().position(|ticket| *ticket == next));
    }
    order
}

#[rstest]
#[case::urgency(0, vec![waiter(2, 0, 400), waiter(0, 0, 500)], &[1, 0])]
#[case::time_left(0, vec![waiter(1, 0, 900), waiter(1, 0, 500)], &[1, 0])]
#[case::arrival(0, vec![waiter(1, 0, 500), waiter(1, 0, 500)], &[0, 1])]
#[case::one_step_for_a_quarter(500, vec![waiter(1, 400, 800), waiter(2, 0, 2_000)], &[0, 1])]
#[case::as_urgent_and_less_time(500, vec![waiter(1, 400, 4_000), waiter(2, 0, 2_000)], &[1, 0])]
#[case::two_steps(1_000, vec![waiter(1, 900, 800), waiter(2, 0, 2_000)], &[1, 0])]
#[case::excess_is_last(
    1_900,
    vec![Waiter { is_excess: true, ..waiter(0, 0, 2_000) }, waiter(2, 1_800, 2_000)],
    &[1, 0]
)]
fn requests_wait_by_urgency_time_left_and_arrival(
    #[case] now: u64,
    #[case] waiters: Vec<Waiter>,
    #[case] expected: &[usize],
) {
    assert_eq!(order_at(now, waiters), expected);
}

/// Guards against a wake-up that looks for servers for all waiting requests: a front has 0.1 cores.
#[test]
fn one_wake_up_examines_few_requests_that_find_no_server() {
    let mut queue = WaitQueue::default();
    for _waiter in 0..100 {
        queue
            .add(&pay(), waiter(1, 0, 2_000), Time(0))
            .expect("room");
    }
    queue.begin_wake_up();
    let examined = std::iter::from_fn(|| queue.next(&pay(), Time(10))).count();
    assert_eq!(examined, 3);
}

#[test]
fn the_queue_is_bounded_in_number_and_in_bytes() {
    let mut queue = WaitQueue::default();
    let add = |queue: &mut WaitQueue, bytes: usize| {
        let waiter = Waiter {
            bytes,
            ..waiter(1, 0, 2_000)
        };
        queue.add(&pay(), waiter, Time(0))
    };
    let first = add(&mut queue, 16 << 20).expect("room");
    assert_eq!(add(&mut queue, 1), Err(NoRoom::Full));
    queue.remove(&pay(), first);
    for _waiter in 0..256 {
        add(&mut queue, 1).expect("room");
    }
    assert_eq!(add(&mut queue, 1), Err(NoRoom::Full));
    assert_eq!(queue.len(), 256);
}

/// Guards against a wait that ends with a refusal that was certain when it began.
#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    let mut queue = WaitQueue::default();
    let tickets: Vec<_> = (0..12)
        .map(|_| {
            queue
                .add(&pay(), waiter(1, 0, 4_000), Time(0))
                .expect("room")
        })
        .collect();
    for (sent, ticket) in tickets.iter().take(2).enumerate() {
        queue.remove_sent(&pay(), *ticket, Time(300 * (sent as u64 + 1)));
    }
    let late = queue.add(&pay(), waiter(1, 600, 5_000), Time(600));
    assert!(late.is_ok(), "ten requests take 3 s");
    assert_eq!(
        queue.add(&pay(), waiter(2, 600, 3_000), Time(600)),
        Err(NoRoom::TooLate)
    );
    let urgent = queue.add(&pay(), waiter(0, 600, 500), Time(600));
    assert!(urgent.is_ok(), "no request is before an urgent one");
}

#[rstest]
#[case::less_urgent_and_reserved(Choice::Reserved(Duration::ZERO), true, None, 10, true)]
#[case::less_urgent_and_full(Choice::Full(Duration::ZERO), true, None, 10, true)]
#[case::urgent_and_full(Choice::Full(Duration::ZERO), false, None, 10, false)]
#[case::no_time_left(Choice::Reserved(Duration::ZERO), true, None, 0, false)]
#[case::no_server(Choice::NoServer, false, None, 10, false)]
#[case::server_in_time(Choice::NoServer, false, Some(5), 10, true)]
#[case::server_too_late(Choice::NoServer, false, Some(15), 10, false)]
fn a_request_waits_only_if_a_server_is_expected_in_time(
    #[case] choice: Choice,
    #[case] less_urgent: bool,
    #[case] next_usable_ms: Option<u64>,
    #[case] left_ms: u64,
    #[case] expected: bool,
) {
    let classes = [class(0, 500)];
    let reserve = Reserve::new(if less_urgent { &classes } else { &[] });
    let next_usable = next_usable_ms.map(Duration::from_millis);
    let left = Duration::from_millis(left_ms);
    assert_eq!(may_wait(&choice, &reserve, next_usable, left), expected);
}

#[test]
fn a_request_has_to_be_sent_before_a_response_would_be_late() {
    assert_eq!(send_by(Time(2_000), 150.0), Time(1_775));
    assert_eq!(send_by(Time(100), 150.0), Time(0));
}

/// Guards against urgent requests that are served less often than others while the granter is lost
/// for longer than the shares are valid.
#[rstest]
fn urgent_requests_are_served_at_least_as_often_with_shares(
    #[values(None, Some((Time(14_000), Time(19_000))))] granter_lost: Option<(Time, Time)>,
) {
    let ended = Fleet::new(Settings {
        with_shares: true,
        granter_lost,
        ..Settings::example(true, 1)
    })
    .run();
    let (urgent, other) = shares(&ended);
    assert!(urgent > 0.8 && urgent >= other && other > 0.6, "{ended:?}");
}

fn two_classes() -> SharedServices {
    shared(vec![
        route(0, 500, &[("pay", 1)]),
        route(2, 2_000, &[("pay", 1)]),
    ])
}

/// Reports `late` of 100 urgent requests in each of some intervals, and returns the share of the
/// less urgent class.
fn share_after(table: &mut ShareTable, intervals: u64, late: f64, now: &mut Time) -> f64 {
    for _interval in 0..intervals {
        *now = *now + Duration::from_millis(250);
        let counts = ClassCounts {
            offered: 100.0,
            refused: 0.0,
            late,
        };
        table.add_report(&[((pay(), 0), counts)]);
        let _changes = table.update(&two_classes(), *now);
    }
    let shares = table.shares();
    let found = shares.iter().find(|(class, _)| *class == (pay(), 2));
    assert!(shares.iter().all(|(class, _)| class.1 != 0), "{shares:?}");
    found.map_or(1.0, |(_, share)| *share)
}

#[test]
fn a_share_is_lowered_quickly_raised_slowly_and_has_a_floor() {
    let mut table = ShareTable::default();
    let mut now = Time(0);
    assert!(share_after(&mut table, 4, 40.0, &mut now) < 0.71);
    assert!(share_after(&mut table, 40, 40.0, &mut now) >= 0.69);
    let held = share_after(&mut table, 20, 7.0, &mut now);
    assert!(held < 0.71, "neither raised nor lowered: {held}");
    let raised = share_after(&mut table, 6, 0.0, &mut now);
    assert!(raised < 0.85, "{raised}");
    assert!(share_after(&mut table, 20, 0.0, &mut now) >= 1.0);
}

#[test]
fn a_share_that_is_not_recent_is_not_used() {
    let mut known = KnownShares::default();
    assert!(known.share(&pay(), 2, Time(0)) >= 1.0, "never received");
    known.set(vec![((pay(), 2), 0.75)], Time(100));
    assert!(known.share(&pay(), 2, Time(2_100)) < 0.8);
    assert!(known.share(&pay(), 2, Time(2_101)) >= 1.0, "older than 2 s");
    assert_eq!(known.recent(Time(2_101)), []);
    known.set(Vec::new(), Time(3_000));
    assert!(
        known.share(&pay(), 2, Time(3_000)) >= 1.0,
        "granter without the field"
    );
}

#[test]
fn a_new_granter_starts_from_the_shares_that_a_front_has() {
    let mut known = KnownShares::default();
    known.set(vec![((pay(), 2), 0.75)], Time(100));
    let table = ShareTable::start_from(&known.recent(Time(200)), Time(200));
    assert_eq!(table.shares(), [((pay(), 2), 0.75)]);
}
