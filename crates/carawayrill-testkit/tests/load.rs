//! Tests of the load generator: its schedule, the limits of its settings, and that its check finds
//! injected violations.

use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_testkit::load;
use carawayrill_testkit::load::Settings;
use carawayrill_testkit::load::caller::FinishedRequest;
use carawayrill_testkit::load::check;
use carawayrill_testkit::load::check::Findings;
use carawayrill_testkit::load::drive::LoadResult;
use carawayrill_testkit::load::keys::HotKeys;
use carawayrill_testkit::load::keys::KeyPattern;
use carawayrill_testkit::load::plan::Plan;
use carawayrill_testkit::server;
use carawayrill_testkit::server::StandInServer;
use carawayrill_testkit::server::faults::Fault;
use carawayrill_testkit::server::faults::FaultSpec;
use carawayrill_testkit::server::records::Run;
use rstest::rstest;
use tokio::net::TcpListener;

/// Starts a server that does not check fencing tokens.
async fn stand_in() -> (StandInServer, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut settings = server::Settings::new("forms-1".parse().expect("an id"));
    settings.fencing = false;
    settings.queue = 1_000;
    let (server, running) = server::start(listener, settings).expect("a server");
    (server, running.address)
}

fn settings(address: SocketAddr) -> Settings {
    let service = "forms=x-form".parse().expect("a service");
    let mut settings = Settings::new(vec![address], vec![service]);
    settings.direct = true;
    settings.rate = 1_000.0;
    settings.time = Duration::from_millis(100);
    settings.idempotency_key_share = 0.5;
    settings
}

/// Runs load against a server that injects a fault into its first request. Returns the result and
/// the server's record of runs.
async fn run(fault: Fault) -> (LoadResult, Vec<Run>) {
    let (server, address) = stand_in().await;
    server.set_fault(FaultSpec {
        fault,
        ms: 0,
        count: Some(1),
    });
    let result = load::drive(&settings(address)).await.expect("a run");
    let client = load::drive::client().expect("a client");
    let runs = check::records(&client, &[address]).await;
    (result, runs.expect("records"))
}

#[tokio::test]
async fn all_requests_are_sent_and_a_clean_run_has_no_violations() {
    let (result, runs) = run(Fault::None).await;
    assert_eq!((100, 0), (result.finished.len(), result.not_sent));
    let expected = Findings {
        runs: 100,
        ..Findings::default()
    };
    assert_eq!(expected, check::check(&result.finished, &runs, true));
}

#[tokio::test]
async fn a_truncated_response_is_no_response_and_no_violation() {
    let (result, runs) = run(Fault::BreakOff).await;
    let findings = check::check(&result.finished, &runs, true);
    assert_eq!((100, true), (findings.runs, findings.is_clean()));
}

/// Changes the results or the records of a clean run so that they contain one violation.
type Corruption = fn(&mut [FinishedRequest], &mut Vec<Run>);

fn add_repeated_run(finished: &mut [FinishedRequest], runs: &mut Vec<Run>) {
    let keyed = finished
        .iter()
        .find(|request| request.planned.idempotency_key.is_some());
    let path = keyed
        .expect("a request with an idempotency key")
        .planned
        .path
        .clone();
    let run = runs.iter().find(|run| run.path == path).cloned();
    runs.push(run.expect("the record of its run"));
}

fn report_not_run(finished: &mut [FinishedRequest], _runs: &mut Vec<Run>) {
    finished[0].attempts[0].outcome = load::caller::ReportedOutcome::NotRun;
}

fn report_mismatched(finished: &mut [FinishedRequest], _runs: &mut Vec<Run>) {
    finished[0].attempts[0].mismatched = true;
}

fn remove_run(_finished: &mut [FinishedRequest], runs: &mut Vec<Run>) {
    runs.pop();
}

#[rstest]
#[case::executed_twice(add_repeated_run, |found: &Findings| found.executed_twice)]
#[case::said_not_run_but_run(report_not_run, |found: &Findings| found.said_not_run_but_run)]
#[case::answered_wrongly(report_mismatched, |found: &Findings| found.answered_wrongly)]
#[case::said_done_but_not_run(remove_run, |found: &Findings| found.said_done_but_not_run)]
#[tokio::test]
async fn an_injected_violation_is_found(
    #[case] corrupt: Corruption,
    #[case] count: fn(&Findings) -> usize,
) {
    let (mut result, mut runs) = run(Fault::None).await;
    corrupt(&mut result.finished, &mut runs);
    let findings = check::check(&result.finished, &runs, true);
    assert_eq!((1, false), (count(&findings), findings.is_clean()));
}

#[rstest]
#[case::remote_address(|settings: &mut Settings| settings.addresses = vec!["192.0.2.1:80".parse().expect("an address")])]
#[case::too_many(|settings: &mut Settings| settings.rate = 1e9)]
#[case::too_long(|settings: &mut Settings| settings.time = Duration::from_hours(1))]
#[case::no_rate(|settings: &mut Settings| settings.rate = 0.0)]
#[case::bad_share(|settings: &mut Settings| settings.idempotency_key_share = 2.0)]
#[tokio::test]
async fn load_out_of_bounds_is_refused(#[case] change: fn(&mut Settings)) {
    let mut settings = settings("127.0.0.1:1".parse().expect("an address"));
    change(&mut settings);
    load::drive(&settings).await.expect_err("out of bounds");
}

#[test]
fn the_schedule_depends_on_the_seed_alone() {
    let mut settings = settings("127.0.0.1:1".parse().expect("an address"));
    settings.keys = KeyPattern {
        count: 100,
        exponent: 1.0,
        names: Vec::new(),
        hot: Some(HotKeys {
            count: 2,
            share: 0.3,
            change_every: Duration::from_millis(50),
        }),
    };
    let lines = |settings: &Settings| -> Vec<String> {
        Plan::new(settings)
            .step_by(5)
            .map(|request| {
                format!(
                    "{:?} {} {} {:?}",
                    request.due, request.path, request.key, request.idempotency_key
                )
            })
            .collect()
    };
    assert_eq!(lines(&settings), lines(&settings));
    insta::assert_snapshot!(lines(&settings).join("\n"));
}
