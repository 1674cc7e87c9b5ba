//! Decisions of a front on one request: route, split, server selection, refusal and retry budget.

use std::time::Duration;

use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::admission::choose;
use carawayrill_core::direct::budget::Allowance;
use carawayrill_core::direct::budget::RetryWindow;
use carawayrill_core::direct::homes::Homes;
use carawayrill_core::direct::load::AttemptResult;
use carawayrill_core::direct::load::LoadReport;
use carawayrill_core::direct::load::ServerLoad;
use carawayrill_core::direct::manifest::Destination;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::manifest::Route;
use carawayrill_core::direct::routes::Routes;
use carawayrill_core::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str, weights: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        destinations: weights
            .iter()
            .map(|(service, weight)| Destination {
                service: service.parse().expect("valid name"),
                weight: *weight,
            })
            .collect(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(400),
        max_tries: 2,
        priority: 0,
        homes: Homes::default(),
    }
}

fn routes() -> Routes {
    Routes::new(&Manifest {
        routes: vec![
            route("short", "forms.example", "/a/", &[("forms", 1)]),
            route("long", "forms.example", "/a/b/", &[("signs", 1)]),
            route(
                "split",
                "forms.example",
                "/s/",
                &[("forms", 90), ("signs", 10)],
            ),
        ],
        ..Manifest::default()
    })
}

#[rstest]
#[case::prefix("forms.example", "/a/x", Some("short"))]
#[case::longest_prefix("forms.example", "/a/b/x", Some("long"))]
#[case::prefix_alone("forms.example", "/a/", Some("short"))]
#[case::less_than_a_prefix("forms.example", "/a", None)]
#[case::other_host("signs.example", "/a/x", None)]
#[case::host_with_port("forms.example:8080", "/a/x", Some("short"))]
#[case::host_in_capitals("Forms.Example", "/a/x", Some("short"))]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let found = routes().find(host, path, |_homes, _service| true);
    assert_eq!(
        found.map(|found| found.route.name.to_string()).as_deref(),
        expected
    );
}

#[test]
fn a_weighted_split_is_exact_over_each_full_cycle() {
    let mut routes = routes();
    for _round in 0..5 {
        let chosen = (0..100).map(|_| {
            routes
                .find("forms.example", "/s/x", |_homes, _service| true)
                .expect("route exists")
                .service
        });
        let signs = chosen.filter(|service| service.as_str() == "signs").count();
        assert_eq!(signs, 10);
    }
}

fn candidate(name: &str, distance: Distance, response_ms: f64) -> Candidate {
    Candidate {
        server: name.parse().expect("valid name"),
        distance,
        response_ms,
        service_rounds: 1.0,
        requests_ahead: 0.0,
        slots: 6,
        failure_cost_ms: 0.0,
        usable: true,
    }
}

fn profile(objective_ms: u64, size_kib: f64) -> RequestProfile {
    RequestProfile {
        objective_left: Duration::from_millis(objective_ms),
        deadline_left: Duration::from_secs(1),
        size_kib,
    }
}

fn chosen(candidates: &[Candidate], profile: &RequestProfile) -> Choice {
    choose(
        candidates,
        profile,
        100.0,
        11,
        &mut ChaCha8Rng::seed_from_u64(1),
    )
}

#[rstest]
#[case::a_little_slower_at_home(110.0, 100.0, 5.0, "near")]
#[case::much_slower_at_home(300.0, 100.0, 5.0, "far")]
#[case::much_slower_at_home_but_large(300.0, 100.0, 60.0, "near")]
fn transfer_cost_between_regions_is_weighed_against_latency(
    #[case] near_ms: f64,
    #[case] far_ms: f64,
    #[case] size_kib: f64,
    #[case] expected: &str,
) {
    let candidates = [
        candidate("near", Distance::SameDataCentre, near_ms),
        candidate("far", Distance::OtherRegion, far_ms),
    ];
    let expected = Choice::Send(expected.parse().expect("valid name"));
    assert_eq!(chosen(&candidates, &profile(400, size_kib)), expected);
}

#[test]
fn a_request_that_would_miss_its_objective_is_refused_with_a_retry_after() {
    let full = candidate("s-1", Distance::SameDataCentre, 600.0);
    let Choice::Full(after) = chosen(&[full], &profile(400, 1.0)) else {
        panic!("not refused");
    };
    // The backlog above the objective is 220 ms; the jitter is up to one service time of 100 ms.
    assert!(
        after >= Duration::from_millis(220) && after <= Duration::from_millis(321),
        "{after:?}"
    );
}

#[test]
fn a_request_past_its_objective_is_served_within_its_deadline() {
    let idle = candidate("s-1", Distance::SameDataCentre, 100.0);
    assert!(matches!(
        chosen(&[idle], &profile(50, 1.0)),
        Choice::Send(_)
    ));
}

#[test]
fn a_server_more_than_three_service_rounds_behind_is_not_chosen() {
    let mut long = candidate("s-1", Distance::SameDataCentre, 100.0);
    long.service_rounds = 3.1;
    assert!(matches!(
        chosen(&[long], &profile(400, 1.0)),
        Choice::Full(_)
    ));
}

#[test]
fn without_a_usable_server_nothing_is_sent() {
    let mut paused = candidate("s-1", Distance::SameDataCentre, 100.0);
    paused.usable = false;
    assert_eq!(chosen(&[paused], &profile(400, 1.0)), Choice::NoServer);
    assert_eq!(chosen(&[], &profile(400, 1.0)), Choice::NoServer);
}

fn load() -> ServerLoad {
    ServerLoad::new(6, Duration::ZERO, Some(100.0), Time(0))
}

#[test]
fn a_server_that_was_found_full_is_tried_again_without_a_report() {
    let mut load = load();
    let report = LoadReport {
        running: 6,
        waiting: 24,
        slots: 6,
        pace: None,
    };
    load.apply_report(Time(0), report);
    assert!(load.service_rounds(Time(0)) > 5.0);
    assert!(load.service_rounds(Time(3_000)) < 1.5);
}

#[test]
fn a_shed_request_pauses_a_server_for_longer_each_time() {
    let mut load = load();
    let mut pauses = Vec::new();
    for _shed in 0..8 {
        load.begin_request();
        load.end_request(Time(1_000), AttemptResult::Shed, Duration::ZERO, 0.0);
        pauses.push(load.backoff_until().since(Time(1_000)).as_millis());
    }
    insta::assert_debug_snapshot!(pauses);
}

#[test]
fn the_failure_rate_decays_over_time() {
    let mut load = load();
    for _failure in 0..10 {
        load.begin_request();
        load.end_request(Time(0), AttemptResult::Failed, Duration::ZERO, 0.0);
    }
    assert!(load.failure_rate(Time(0)) > 0.6);
    assert!(load.failure_rate(Time(15_000)) < 0.03);
}

#[test]
fn the_only_owner_of_a_key_is_tried_again_after_it_was_slow() {
    let mut load = load();
    for _answer in 0..20 {
        load.begin_request();
        load.end_request(Time(0), AttemptResult::Served, Duration::from_secs(2), 0.0);
    }
    load.set_assumed_service_ms(100.0);
    let choice = |now: Time| {
        let owner = Candidate {
            response_ms: load.response_ms(now),
            ..candidate("s-1", Distance::SameDataCentre, 0.0)
        };
        chosen(&[owner], &profile(400, 1.0))
    };
    assert!(matches!(choice(Time(100)), Choice::Full(_)));
    assert!(matches!(choice(Time(9_000)), Choice::Send(_)));
}

#[test]
fn queueing_time_is_not_counted_as_service_time() {
    let mut load = load();
    for _answer in 0..60 {
        load.begin_request();
        // With 17 requests ahead on six slots, the response comes after three service times.
        load.end_request(
            Time(0),
            AttemptResult::Served,
            Duration::from_millis(300),
            17.0,
        );
    }
    let service = load.service_ms(Time(0)).expect("measured");
    assert!((service - 100.0).abs() < 5.0, "{service}");
}

#[test]
fn eleven_fronts_stay_within_the_shared_budget_together() {
    let allowance = Allowance {
        ratio: 0.2,
        slack: 62.0,
        window: Duration::from_secs(10),
    };
    let mut fronts = vec![RetryWindow::new(allowance); 11];
    let (mut requests, mut repeats) = (0, 0);
    for ms in (0..10_000).step_by(20) {
        for front in &mut fronts {
            front.record_request(Time(ms));
            requests += 1;
            for _attempt in 0..3 {
                repeats += u32::from(front.try_acquire(Time(ms), Some(11)));
            }
        }
    }
    let allowed = f64::from(requests) * allowance.ratio + allowance.slack;
    assert!(f64::from(repeats) <= allowed, "{repeats} of {allowed}");
    assert!(
        f64::from(repeats) >= allowed * 0.7,
        "{repeats} of {allowed}"
    );
}
