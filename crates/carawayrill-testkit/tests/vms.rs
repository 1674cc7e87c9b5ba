//! Tests of the stand-in VM list: states and lag.

use std::time::Duration;

use carawayrill_store::http_vms::HttpVmList;
use carawayrill_store::port::Vm;
use carawayrill_store::port::VmList;
use carawayrill_store::port::VmState;
use carawayrill_testkit::vms;
use carawayrill_testkit::vms::VmListStandIn;
use rstest::rstest;
use tokio::net::TcpListener;

/// A lag that is longer than a test.
const LONG_LAG: Duration = Duration::from_hours(1);

#[rstest]
#[case::at_once(Duration::ZERO, vec![Vm { name: "forms-1".into(), state: VmState::Leaving }])]
#[case::later(LONG_LAG, Vec::new())]
#[tokio::test]
async fn a_change_shows_after_the_lag(#[case] lag: Duration, #[case] visible: Vec<Vm>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let list = VmListStandIn::new(lag);
    let running = vms::start(listener, list.clone()).expect("a list");
    let client = HttpVmList::new(running.address).expect("a client");
    let url = format!("http://{}/control/vms/forms-1", running.address);
    for state in ["live", "leaving"] {
        let order = reqwest::Client::new()
            .put(&url)
            .body(format!("{{\"state\":\"{state}\"}}"));
        assert!(order.send().await.expect("answer").status().is_success());
    }
    assert_eq!(visible, client.vms().await.expect("a list"));
    running.stop().await.expect("a planned stop");
}
