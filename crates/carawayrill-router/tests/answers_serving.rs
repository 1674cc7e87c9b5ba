//! The serving driver of a home over real sockets: outcomes, slots, claims and cancellation.

mod answers_support;

use std::collections::BTreeSet;
use std::time::Duration;

use answers_support::Harness;
use answers_support::SLOTS;
use answers_support::TEST_TIMEOUT;
use answers_support::TOKEN;
use answers_support::server_id;
use answers_support::shard;
use answers_support::summary;
use carawayrill_core::outcome::Outcome;
use carawayrill_testkit::server::faults::Fault;
use futures_util::future::join_all;
use rstest::rstest;

const SHORT_SERVICE_TIME: Duration = Duration::from_millis(2);
const LONG_SERVICE_TIME: Duration = Duration::from_mins(10);

#[tokio::test]
async fn a_whole_answer_is_done_and_names_its_server() {
    let harness = Harness::start(SHORT_SERVICE_TIME).await;
    let answer = harness.answer(harness.request("body", None)).await;
    assert_eq!(summary(&answer), "done 200");
    assert_eq!(answer.server, Some(server_id()));
    assert_eq!(answer.token, Some(TOKEN));
    let page: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(page["path"], "/renewals/a?key=mother");
}

/// Checks the answer under a fault, and the answer to a repeat after the fault is cleared and the
/// server has finished the first request.
#[rstest]
#[case::breaks_off(
    Fault::BreakOff,
    "unknown 502 answer-broken-off",
    "unknown 409 first-answer-lost"
)]
#[case::loses_the_answer(
    Fault::LoseAnswer,
    "unknown 502 answer-lost",
    "unknown 409 first-answer-lost"
)]
#[case::answers_another(
    Fault::OtherAnswer,
    "unknown 502 answer-lost",
    "unknown 409 first-answer-lost"
)]
#[case::sheds(Fault::Shed, "not-run 503 shed", "done 200")]
#[tokio::test]
async fn outcomes_under_faults(#[case] fault: Fault, #[case] first: &str, #[case] repeat: &str) {
    let harness = Harness::start(SHORT_SERVICE_TIME).await;
    harness.fault(fault);
    let answer = harness.answer(harness.request("body", Some("k"))).await;
    assert_eq!(summary(&answer), first);
    harness.fault(Fault::None);
    harness.wait_for_free_slots().await;
    let answer = harness.answer(harness.request("body", Some("k"))).await;
    assert_eq!(summary(&answer), repeat);
    assert_eq!(harness.server.stats().runs, 1);
}

#[tokio::test]
async fn a_server_that_refuses_connections_has_run_nothing() {
    let harness = Harness::start(SHORT_SERVICE_TIME).await;
    let mut deployment = answers_support::deployment("127.0.0.1:1".parse().unwrap());
    deployment.generation = deployment.generation.next();
    harness.cx.deployment.store(Some(deployment.into()));
    let answer = harness.answer(harness.request("body", Some("k"))).await;
    assert_eq!(summary(&answer), "not-run 503 server-unreachable");
}

#[tokio::test]
async fn a_frozen_server_gives_the_final_answer_at_the_deadline() {
    let harness = Harness::start(SHORT_SERVICE_TIME).await;
    harness.fault(Fault::Freeze);
    let mut req = harness.request("body", Some("k"));
    req.deadline = harness.cx.now() + Duration::from_millis(200);
    let answer = harness.answer(req).await;
    assert_eq!(summary(&answer), "unknown 504 answer-late");
    let repeat = harness.answer(harness.request("body", Some("k"))).await;
    assert_eq!(summary(&repeat), "unknown 409 in-progress");
    // Once unfrozen, the server finds that the deadline has passed or that the request is cancelled.
    // By its own clock it may also start the request just in time, and finish it or stop it midway.
    harness.fault(Fault::None);
    harness.wait_for_free_slots().await;
    let repeat = harness.answer(harness.request("body", Some("k"))).await;
    let summary = summary(&repeat);
    let runs = harness.server.stats().runs;
    let allowed = [
        ("done 200", 1),
        ("unknown 409 first-answer-lost", 0),
        ("unknown 409 first-answer-lost", 1),
    ];
    assert!(
        allowed.contains(&(summary.as_str(), runs)),
        "{summary}, {runs} runs"
    );
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_request() {
    let harness = Harness::start(LONG_SERVICE_TIME).await;
    let caller = harness.spawn(harness.request("body", Some("k")));
    harness.wait_for_runs(1).await;
    caller.abort();
    harness.wait_for_free_slots().await;
    let repeat = harness.answer(harness.request("body", Some("k"))).await;
    assert_ne!(repeat.outcome, Outcome::NotRun);
    assert_eq!(harness.server.stats().runs, 1);
}

#[tokio::test]
async fn no_more_than_its_slots_run_at_a_server() {
    let harness = Harness::start(Duration::from_millis(10)).await;
    let requests = (0..40).map(|_| harness.answer(harness.request("body", None)));
    for answer in join_all(requests).await {
        assert_eq!(summary(&answer), "done 200");
    }
    let stats = harness.server.stats();
    assert!(stats.most_running <= SLOTS, "{stats:?}");
    assert_eq!(stats.waited, 0);
}

#[tokio::test]
async fn one_key_runs_once_however_often_it_is_sent() {
    let harness = Harness::start(Duration::from_millis(50)).await;
    let requests = (0..10).map(|_| harness.answer(harness.request("body", Some("k"))));
    let answers = join_all(requests).await;
    let summaries: BTreeSet<_> = answers.iter().map(summary).collect();
    assert!(summaries.contains("done 200"));
    let known = ["done 200", "unknown 409 in-progress"].map(String::from);
    assert!(summaries.is_subset(&known.into()), "{summaries:?}");
    let first = answers.iter().find(|answer| answer.status == 200).unwrap();
    let repeat = harness.answer(harness.request("body", Some("k"))).await;
    assert_eq!(repeat.body, first.body);
    let other = harness
        .answer(harness.request("another body", Some("k")))
        .await;
    assert_eq!(summary(&other), "not-run 422 body-differs");
    assert_eq!(harness.server.stats().runs, 1);
}

/// A planned move waits until no request of the shard runs. The shard stays busy after the caller has
/// disconnected, because a server that does not receive the cancellation still runs the request.
#[tokio::test]
async fn a_shard_is_busy_until_the_server_has_finished() {
    let harness = Harness::start(LONG_SERVICE_TIME).await;
    let caller = harness.spawn(harness.request("body", None));
    harness.wait_for_runs(1).await;
    harness.fault(Fault::Freeze);
    caller.abort();
    assert!(caller.await.unwrap_err().is_cancelled());
    let shard = shard();
    let mut idle = Box::pin(harness.in_flight.wait_until_idle(&shard));
    assert!(futures_util::poll!(&mut idle).is_pending());
    assert_eq!(harness.serving.load_of(&server_id()).0, 1);
    harness.fault(Fault::None);
    tokio::time::timeout(TEST_TIMEOUT, idle).await.unwrap();
    harness.wait_for_free_slots().await;
}
