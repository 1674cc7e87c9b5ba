//! Failure tests with real processes. No result depends on timing; timeouts only end a test that
//! hangs.

use std::path::PathBuf;
use std::time::Duration;

use carawayrill_testkit::bench::Bench;
use carawayrill_testkit::bench::duplicates;
use carawayrill_testkit::bench::frozen;
use carawayrill_testkit::bench::loss;
use carawayrill_testkit::bench::loss::Loss;
use carawayrill_testkit::bench::rolling;
use carawayrill_testkit::bench::shape::Shape;
use carawayrill_testkit::fleet::FleetConfig;
use carawayrill_testkit::load::check::Findings;
use rstest::rstest;
use tokio::sync::Semaphore;

/// The timeout after which a test counts as hanging.
const HANG_GUARD: Duration = Duration::from_mins(1);
/// The number of requests per second of each load.
const RATE: f64 = 100.0;

/// Limits the number of deployments that run at a time.
static DEPLOYMENT_PERMITS: Semaphore = Semaphore::const_new(2);

/// Returns the path of the directory for one test.
fn directory(name: &str) -> PathBuf {
    let dir_name = format!("carawayrill-test-{}-{name}", std::process::id());
    std::env::temp_dir().join(dir_name)
}

async fn start(name: &str) -> Bench {
    let dir = directory(name);
    let bench = Bench::start(&dir, &Shape::small(), FleetConfig::default()).await;
    bench.expect("a deployment that answers")
}

/// Stops the deployment of a passed test and removes its directory. A failed test keeps its files.
fn remove(bench: Bench, name: &str) {
    drop(bench);
    std::fs::remove_dir_all(directory(name)).expect("the directory of the test");
}

/// Returns the findings without the counts that are no violations.
fn violations(findings: &Findings) -> Findings {
    Findings {
        runs: 0,
        repeated_runs: 0,
        ..findings.clone()
    }
}

#[rstest]
#[case::home("home", Loss::Router, false)]
#[case::home_while_the_store_is_down("home-store-down", Loss::Router, true)]
#[case::server("server", Loss::Server, false)]
#[case::server_while_the_store_is_down("server-store-down", Loss::Server, true)]
#[case::controllers("controllers", Loss::Controllers, false)]
#[case::data_centre("data-centre", Loss::DataCentre, false)]
#[case::data_centre_while_the_store_is_down("data-centre-store-down", Loss::DataCentre, true)]
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_answered_again_after_the_loss_of_a(
    #[case] name: &str,
    #[case] loss: Loss,
    #[case] store_down: bool,
) {
    let _permit = DEPLOYMENT_PERMITS
        .acquire()
        .await
        .expect("the semaphore is never closed");
    let mut bench = start(name).await;
    let planned = loss::plan(&bench, loss).await.expect("a loss");
    let since = planned.kill(&mut bench, store_down).await.expect("a kill");
    let answered = planned.wait_answered(&bench, since, HANG_GUARD).await;
    let times = answered.expect("all keys are answered again");
    assert!(!times.is_empty(), "the failure affected no key");
    remove(bench, name);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_froze_and_returned_runs_nothing_twice() {
    let _permit = DEPLOYMENT_PERMITS
        .acquire()
        .await
        .expect("the semaphore is never closed");
    let mut bench = start("frozen").await;
    let report = frozen::run(&mut bench, &Shape::small(), RATE, HANG_GUARD).await;
    let report = report.expect("keys that are answered elsewhere");
    assert_eq!(Findings::default(), violations(&report.load.findings));
    remove(bench, "frozen");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_routers_loses_nothing() {
    let _permit = DEPLOYMENT_PERMITS
        .acquire()
        .await
        .expect("the semaphore is never closed");
    let mut bench = start("rolling").await;
    let report = rolling::run(&mut bench, &Shape::small(), RATE).await;
    let report = report.expect("routers that stop and start");
    let lost = (report.cut_off, report.not_done, report.examples.clone());
    assert_eq!((0, 0, Vec::new()), lost);
    assert_eq!(Findings::default(), violations(&report.load.findings));
    remove(bench, "rolling");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_through_other_routers_run_nothing_twice_while_processes_are_lost() {
    let _permit = DEPLOYMENT_PERMITS
        .acquire()
        .await
        .expect("the semaphore is never closed");
    let mut bench = start("duplicates").await;
    let report = duplicates::run(&mut bench, &Shape::small(), RATE).await;
    let report = report.expect("processes that can be steered");
    assert_eq!(Findings::default(), violations(&report.load.findings));
    remove(bench, "duplicates");
}
