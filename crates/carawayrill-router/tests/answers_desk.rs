//! The desk of a home over real sockets: outcomes, slots, claims and cancellation.

mod answers_support;

use std::collections::BTreeSet;
use std::time::Duration;

use answers_support::Bench;
use answers_support::PATIENCE;
use answers_support::SLOTS;
use answers_support::TOKEN;
use answers_support::server_id;
use answers_support::shard;
use answers_support::told;
use carawayrill_core::outcome::Outcome;
use carawayrill_testkit::server::faults::Fault;
use futures_util::future::join_all;
use rstest::rstest;

const QUICK: Duration = Duration::from_millis(2);
const ENDLESS: Duration = Duration::from_mins(10);

#[tokio::test]
async fn a_whole_answer_is_done_and_names_its_server() {
    let bench = Bench::start(QUICK).await;
    let answer = bench.answer(bench.request("body", None)).await;
    assert_eq!(told(&answer), "done 200");
    assert_eq!(answer.server, Some(server_id()));
    assert_eq!(answer.token, Some(TOKEN));
    let page: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(page["path"], "/renewals/a?key=mother");
}

/// What is told under a fault, and what the repeat is told once the fault is over and the server
/// has nothing left of the first request.
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
async fn what_is_told_under_faults(
    #[case] fault: Fault,
    #[case] first: &str,
    #[case] repeat: &str,
) {
    let bench = Bench::start(QUICK).await;
    bench.fault(fault);
    let answer = bench.answer(bench.request("body", Some("k"))).await;
    assert_eq!(told(&answer), first);
    bench.fault(Fault::None);
    bench.wait_for_free_slots().await;
    let answer = bench.answer(bench.request("body", Some("k"))).await;
    assert_eq!(told(&answer), repeat);
    assert_eq!(bench.server.stats().runs, 1);
}

#[tokio::test]
async fn a_server_that_takes_no_connection_has_run_nothing() {
    let bench = Bench::start(QUICK).await;
    let mut whole = answers_support::deployment("127.0.0.1:1".parse().unwrap());
    whole.generation = whole.generation.next();
    bench.cx.deployment.store(Some(whole.into()));
    let answer = bench.answer(bench.request("body", Some("k"))).await;
    assert_eq!(told(&answer), "not-run 503 server-unreachable");
}

#[tokio::test]
async fn a_frozen_server_gives_the_final_answer_at_the_deadline() {
    let bench = Bench::start(QUICK).await;
    bench.fault(Fault::Freeze);
    let mut req = bench.request("body", Some("k"));
    req.deadline = bench.cx.now() + Duration::from_millis(200);
    let answer = bench.answer(req).await;
    assert_eq!(told(&answer), "unknown 504 answer-late");
    let repeat = bench.answer(bench.request("body", Some("k"))).await;
    assert_eq!(told(&repeat), "unknown 409 in-progress");
    // Thawed, the server finds that the deadline has passed or that the request is cancelled. By
    // its own clock it may also just start to run it, and then end it or stop it midway.
    bench.fault(Fault::None);
    bench.wait_for_free_slots().await;
    let repeat = bench.answer(bench.request("body", Some("k"))).await;
    let told = told(&repeat);
    let runs = bench.server.stats().runs;
    let truths = [
        ("done 200", 1),
        ("unknown 409 first-answer-lost", 0),
        ("unknown 409 first-answer-lost", 1),
    ];
    assert!(
        truths.contains(&(told.as_str(), runs)),
        "{told}, {runs} runs"
    );
}

#[tokio::test]
async fn a_caller_that_hangs_up_cancels_its_request() {
    let bench = Bench::start(ENDLESS).await;
    let caller = bench.spawn(bench.request("body", Some("k")));
    bench.wait_for_runs(1).await;
    caller.abort();
    bench.wait_for_free_slots().await;
    let repeat = bench.answer(bench.request("body", Some("k"))).await;
    assert_ne!(repeat.outcome, Outcome::NotRun);
    assert_eq!(bench.server.stats().runs, 1);
}

#[tokio::test]
async fn no_more_than_its_slots_run_at_a_server() {
    let bench = Bench::start(Duration::from_millis(10)).await;
    let requests = (0..40).map(|_| bench.answer(bench.request("body", None)));
    for answer in join_all(requests).await {
        assert_eq!(told(&answer), "done 200");
    }
    let stats = bench.server.stats();
    assert!(stats.most_running <= SLOTS, "{stats:?}");
    assert_eq!(stats.waited, 0);
}

#[tokio::test]
async fn one_key_runs_once_however_often_it_is_sent() {
    let bench = Bench::start(Duration::from_millis(50)).await;
    let requests = (0..10).map(|_| bench.answer(bench.request("body", Some("k"))));
    let answers = join_all(requests).await;
    let words: BTreeSet<_> = answers.iter().map(told).collect();
    assert!(words.contains("done 200"));
    let known = ["done 200", "unknown 409 in-progress"].map(String::from);
    assert!(words.is_subset(&known.into()), "{words:?}");
    let first = answers.iter().find(|answer| answer.status == 200).unwrap();
    let repeat = bench.answer(bench.request("body", Some("k"))).await;
    assert_eq!(repeat.body, first.body);
    let other = bench.answer(bench.request("another body", Some("k"))).await;
    assert_eq!(told(&other), "not-run 422 body-differs");
    assert_eq!(bench.server.stats().runs, 1);
}

/// A planned move waits until nothing of the shard runs. A caller that is gone does not change
/// that: its request still runs at a server that does not hear of the cancellation.
#[tokio::test]
async fn a_shard_is_busy_until_the_server_has_ended() {
    let bench = Bench::start(ENDLESS).await;
    let caller = bench.spawn(bench.request("body", None));
    bench.wait_for_runs(1).await;
    bench.fault(Fault::Freeze);
    caller.abort();
    assert!(caller.await.unwrap_err().is_cancelled());
    let shard = shard();
    let mut idle = Box::pin(bench.flights.wait_for_none(&shard));
    assert!(futures_util::poll!(&mut idle).is_pending());
    assert_eq!(bench.desk.load_of(&server_id()).0, 1);
    bench.fault(Fault::None);
    tokio::time::timeout(PATIENCE, idle).await.unwrap();
    bench.wait_for_free_slots().await;
}
