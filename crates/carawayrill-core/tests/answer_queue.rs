//! Slots and queue of one server: limits, early refusal, warm-up, shedding, load reports and
//! fairness.

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::answer::fair::QueuedRequest;
use carawayrill_core::answer::queue::Completion;
use carawayrill_core::answer::queue::QueueAction;
use carawayrill_core::answer::queue::ServerLimits;
use carawayrill_core::answer::queue::ServerQueue;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::id::RequestId;
use carawayrill_core::order::LoadReport;
use carawayrill_core::time::Time;
use proptest::prelude::*;
use rstest::rstest;

const LIMITS: ServerLimits = ServerLimits {
    slots: 4,
    connections: 50,
    queue: 10,
    warm_up: Duration::ZERO,
};

fn id(number: u64) -> RequestId {
    format!("r{number}").parse().unwrap()
}

fn waiting(number: u64, caller: &str, deadline: u64) -> QueuedRequest {
    QueuedRequest {
        request: id(number),
        caller: caller.into(),
        deadline: Time(deadline),
    }
}

/// Offers a request and returns `send`, `wait` or the reason of its refusal.
fn offer(queue: &mut ServerQueue, now: u64, request: QueuedRequest) -> String {
    let name = request.request.clone();
    let actions = match queue.offer(Time(now), request) {
        Ok(actions) => actions,
        Err(refusal) => return refusal.reason.to_string(),
    };
    let own = actions.into_iter().find_map(|action| match action {
        QueueAction::Send(request) if request == name => Some("send".into()),
        QueueAction::Refuse(request, refusal) if request == name => {
            Some(refusal.reason.to_string())
        }
        _ => None,
    });
    own.unwrap_or_else(|| "wait".into())
}

/// Creates a queue whose slots are all in use, with a measured service time of 100 ms.
fn busy(limits: ServerLimits) -> ServerQueue {
    let mut queue = ServerQueue::new(limits, Time(0));
    for number in 0..u64::from(limits.slots) {
        assert_eq!(
            offer(&mut queue, 0, waiting(1_000 + number, "busy", 100_000)),
            "send"
        );
    }
    let took = Duration::from_millis(100);
    queue.complete(Time(100), &id(1_000), Completion::Answered(took));
    assert_eq!(
        offer(&mut queue, 100, waiting(1_000, "busy", 100_000)),
        "send"
    );
    queue
}

#[rstest]
// With 4 slots and 100 ms per request, the next slot is free after 25 ms; the request takes up to
// 150 ms.
#[case::enough_time(300, "wait")]
#[case::too_little_time(260, "cannot-meet-deadline")]
#[case::no_time(100, "deadline-passed")]
fn requests_that_cannot_meet_their_deadline_are_refused_on_arrival(
    #[case] deadline: u64,
    #[case] expected: &str,
) {
    let mut queue = busy(LIMITS);
    assert_eq!(offer(&mut queue, 100, waiting(1, "a", deadline)), expected);
}

#[test]
fn a_wrong_estimate_is_corrected_by_requests_on_idle_slots() {
    let mut queue = ServerQueue::new(LIMITS, Time(0));
    assert_eq!(offer(&mut queue, 0, waiting(1, "a", 60_000)), "send");
    queue.complete(
        Time(20_000),
        &id(1),
        Completion::Answered(Duration::from_secs(20)),
    );
    // The estimate is 20 s, but no request runs, so the request is sent.
    assert_eq!(offer(&mut queue, 20_000, waiting(2, "a", 21_000)), "send");
    // A second request is refused, as the estimate exceeds its deadline and a request is running.
    assert_eq!(
        offer(&mut queue, 20_000, waiting(3, "a", 21_000)),
        "cannot-meet-deadline"
    );
}

#[test]
fn queued_requests_are_refused_when_the_server_slows_down() {
    let mut queue = busy(LIMITS);
    assert_eq!(offer(&mut queue, 100, waiting(1, "a", 400)), "wait");
    for number in 1_000..1_004 {
        queue.abandon(Time(280), &id(number), Time(280));
    }
    let actions = queue.tick(Time(281));
    let refused = |action: &QueueAction| {
        matches!(action, QueueAction::Refuse(request, refusal)
            if *request == id(1) && refusal.reason == RefusalReason::CannotMeetDeadline)
    };
    assert!(actions.iter().any(refused), "{actions:?}");
}

#[test]
fn an_abandoned_request_keeps_its_slot_for_a_bounded_time() {
    let mut queue = busy(LIMITS);
    for number in 1_000..1_004 {
        queue.abandon(Time(200), &id(number), Time(500));
    }
    assert_eq!(queue.in_flight(), 4);
    queue.tick(Time(2_499));
    assert_eq!(queue.in_flight(), 4);
    queue.tick(Time(2_500));
    assert_eq!(queue.in_flight(), 0);
}

#[test]
fn a_full_queue_evicts_from_the_caller_with_the_longest_backlog() {
    let mut queue = busy(LIMITS);
    for number in 0..10 {
        assert_eq!(
            offer(&mut queue, 100, waiting(number, "greedy", 50_000 + number)),
            "wait"
        );
    }
    assert_eq!(
        offer(&mut queue, 100, waiting(10, "greedy", 60_000)),
        "queue-full"
    );
    let actions = queue
        .offer(Time(100), waiting(11, "quiet", 60_000))
        .unwrap();
    assert!(matches!(&*actions, [QueueAction::Refuse(request, refusal)]
        if *request == id(9) && refusal.reason == RefusalReason::CallerLimit));
    assert_eq!(queue.waiting(), 10);
}

#[rstest]
#[case::cold(0, 1)]
#[case::quarter(250, 1)]
#[case::half(500, 2)]
#[case::almost(999, 3)]
#[case::warm(1_000, 4)]
fn a_cold_server_is_warmed_up(#[case] at: u64, #[case] allowed: u32) {
    let limits = ServerLimits {
        warm_up: Duration::from_secs(1),
        ..LIMITS
    };
    let queue = ServerQueue::new(limits, Time(0));
    assert_eq!(queue.usable_slots(Time(at)), allowed);
    let mut queue = ServerQueue::warm(limits, Time(0));
    assert_eq!(queue.usable_slots(Time(at)), 4);
    queue.restart(Time(0));
    assert_eq!(queue.usable_slots(Time(at)), allowed);
}

#[test]
fn shed_answers_are_believed_for_a_bounded_time() {
    let limits = ServerLimits {
        warm_up: Duration::from_secs(1),
        ..LIMITS
    };
    let mut queue = ServerQueue::new(limits, Time(0));
    let mut seen = Vec::new();
    let mut now = 10_000;
    for number in 0..9 {
        assert_eq!(
            offer(&mut queue, now, waiting(number, "a", now + 50_000)),
            "send"
        );
        queue.complete(Time(now), &id(number), Completion::Shed);
        let paused = (now..now + 2_000)
            .find(|at| queue.usable_slots(Time(*at)) > 0)
            .unwrap()
            - now;
        seen.push((paused, queue.usable_slots(Time(now + paused))));
        now += paused;
    }
    insta::assert_debug_snapshot!(seen);
}

#[rstest]
#[case::reports_idle(0, 0, 4)]
#[case::reports_only_our_requests(4, 0, 4)]
#[case::reports_one_other_request(5, 0, 3)]
#[case::absurd(1_000_000, 0, 2)]
#[case::stale(1_000_000, 2_001, 4)]
fn a_wrong_load_report_has_a_bounded_effect(
    #[case] running: u32,
    #[case] age: u64,
    #[case] allowed: u32,
) {
    let mut queue = busy(LIMITS);
    let report = LoadReport {
        running,
        queued: 0,
        draining: false,
    };
    queue.report(Time(100), report);
    assert_eq!(queue.usable_slots(Time(100 + age)), allowed);
}

#[test]
fn a_draining_server_refuses_new_requests_and_keeps_running_ones() {
    let mut queue = busy(LIMITS);
    assert_eq!(offer(&mut queue, 100, waiting(1, "a", 50_000)), "wait");
    let actions = queue.drain();
    assert!(matches!(&*actions, [QueueAction::Refuse(request, refusal)]
        if *request == id(1) && refusal.reason == RefusalReason::Draining));
    assert_eq!(offer(&mut queue, 100, waiting(2, "a", 50_000)), "draining");
    assert_eq!(queue.in_flight(), 4);
}

#[test]
fn connections_are_reserved_for_control() {
    let limits = ServerLimits {
        slots: 4,
        connections: 5,
        ..LIMITS
    };
    let mut queue = ServerQueue::new(limits, Time(0));
    for number in 0..4 {
        offer(&mut queue, 0, waiting(number, "a", 50_000));
    }
    assert_eq!(queue.in_flight(), 3);
    assert!(queue.start_control_call());
    assert!(queue.start_control_call());
    assert!(!queue.start_control_call());
    queue.end_control_call();
    assert!(queue.start_control_call());
    assert_eq!(queue.connections(), 5);
}

/// Two callers always have requests waiting; one has ten times as many, or its requests take
/// longer. Both get the same service time, up to the requests in flight.
#[rstest]
#[case::same(10, 10)]
#[case::slow_requests(50, 10)]
#[case::quick_requests(2, 10)]
fn callers_get_equal_service_time(#[case] greedy_ms: u64, #[case] modest_ms: u64) {
    let limits = ServerLimits {
        queue: 100,
        ..LIMITS
    };
    let mut queue = ServerQueue::new(limits, Time(0));
    let mut running: BTreeMap<RequestId, (u64, &str, u64)> = BTreeMap::new();
    let mut received: BTreeMap<&str, u64> = BTreeMap::new();
    let mut backlog = BTreeMap::from([("greedy", 0), ("modest", 0)]);
    let mut number = 0;
    for now in 0..5_000 {
        let mut actions = Vec::new();
        let ended: Vec<_> = running
            .iter()
            .filter(|(_, (end, _, _))| *end == now)
            .map(|(request, (_, caller, took))| (request.clone(), *caller, *took))
            .collect();
        for (request, caller, took) in ended {
            running.remove(&request);
            *received.entry(caller).or_default() += took;
            let took = Duration::from_millis(took);
            actions.extend(queue.complete(Time(now), &request, Completion::Answered(took)));
        }
        for (caller, most) in [("greedy", 80), ("modest", 8)] {
            for _ in backlog[caller]..most {
                number += 1;
                let request = QueuedRequest {
                    request: format!("{caller}-{number}").parse().unwrap(),
                    caller: caller.into(),
                    deadline: Time(now + 1_000_000),
                };
                actions.extend(queue.offer(Time(now), request).unwrap());
            }
            backlog.insert(caller, most);
        }
        for action in actions {
            let QueueAction::Send(request) = action else {
                panic!("refused: {action:?}");
            };
            let modest = request.as_str().starts_with("modest");
            let (caller, took) = if modest {
                ("modest", modest_ms)
            } else {
                ("greedy", greedy_ms)
            };
            running.insert(request, (now + took, caller, took));
            *backlog.get_mut(caller).unwrap() -= 1;
        }
    }
    let bound = u64::from(LIMITS.slots) * 2 * greedy_ms.max(modest_ms);
    let difference = received["greedy"].abs_diff(received["modest"]);
    assert!(difference <= bound, "{received:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The requests in flight never exceed the slots, and the waiting requests never exceed the
    /// limit.
    #[test]
    fn limits_are_never_exceeded(
        steps in prop::collection::vec((0_u64..20, 0_u8..7, 0_u64..600, 0_u64..2_000), 1..400)
    ) {
        let limits = ServerLimits { warm_up: Duration::from_millis(200), ..LIMITS };
        let mut queue = ServerQueue::new(limits, Time(0));
        let mut now = 0;
        let mut sent = Vec::new();
        for (number, (elapsed, step, caller, deadline)) in (0..).zip(steps) {
            now += elapsed;
            let at = Time(now);
            let pick = |sent: &mut Vec<RequestId>| {
                let index = usize::try_from(caller).unwrap() % sent.len().max(1);
                (!sent.is_empty()).then(|| sent.remove(index))
            };
            let actions = match step {
                0..=3 => {
                    let name = format!("c{caller}");
                    queue.offer(at, waiting(number, &name, now + deadline)).unwrap_or_default()
                }
                4 => pick(&mut sent).map_or_else(Vec::new, |request| {
                    queue.complete(
                        at,
                        &request,
                        Completion::Answered(Duration::from_millis(deadline)),
                    )
                }),
                5 => pick(&mut sent).map_or_else(Vec::new, |request| {
                    queue.complete(at, &request, Completion::Shed)
                }),
                _ => queue.tick(at),
            };
            for action in actions {
                if let QueueAction::Send(request) = action {
                    sent.push(request);
                }
            }
            prop_assert!(sent.len() <= 4);
            prop_assert_eq!(queue.in_flight(), u32::try_from(sent.len()).unwrap());
            prop_assert!(queue.waiting() <= 10);
        }
    }
}
