//! The HTTP interface for callers: statuses, headers and bodies, and disconnecting callers.

mod answers_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use answers_support::Harness;
use answers_support::add_member;
use answers_support::context;
use answers_support::home_role;
use answers_support::serve_peers;
use carawayrill_router::entry::callers::CallerConnections;
use carawayrill_router::entry::http::Entry;
use carawayrill_testkit::server::faults::Fault;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const SHORT_SERVICE_TIME: Duration = Duration::from_millis(2);
const LONG_SERVICE_TIME: Duration = Duration::from_mins(10);

/// Serves the entry role in front of a home and returns its address.
async fn serve(harness: &Harness) -> SocketAddr {
    serve_with_callers(harness).await.0
}

async fn serve_with_callers(harness: &Harness) -> (SocketAddr, CallerConnections) {
    let home = Arc::new(home_role(harness));
    let entry = Entry::new(Arc::clone(&harness.cx), home);
    let callers = entry.callers().clone();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let acceptor = entry.callers().accept_on(listener).unwrap();
    tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(entry));
    (address, callers)
}

/// Sends one request and formats the response: status, outcome headers and the body of a refusal.
async fn send(req: reqwest::RequestBuilder) -> String {
    let answer = req.send().await.unwrap();
    let header = |name: &str| {
        let value = answer.headers().get(name);
        value
            .map_or("-", |value| value.to_str().unwrap())
            .to_owned()
    };
    let outcome = header("x-carawayrill-outcome");
    let after = header("retry-after");
    let server = header("x-carawayrill-server");
    let token = header("x-carawayrill-token");
    let status = answer.status().as_u16();
    let body = answer.text().await.unwrap();
    let body = if outcome == "done" { "" } else { &body };
    format!("{status} {outcome} server {server} token {token} retry-after {after} {body}")
}

#[rstest]
#[case::done("POST", "/renewals/a?key=k", &[("idempotency-key", "1")], 5)]
#[case::done_without_key("GET", "/renewals/a?key=k", &[], 0)]
#[case::unknown_service("GET", "/nothing/a?key=k", &[], 0)]
#[case::no_service("GET", "/", &[], 0)]
#[case::no_key("GET", "/renewals/a", &[], 0)]
#[case::empty_key("GET", "/renewals/a?key=", &[], 0)]
#[case::bad_deadline("GET", "/renewals/a?key=k", &[("x-carawayrill-deadline-ms", "soon")], 0)]
#[case::no_idempotency_key("POST", "/renewals/a?key=k", &[], 5)]
#[case::bad_idempotency_key("POST", "/renewals/a?key=k", &[("idempotency-key", "a b")], 5)]
#[case::too_large("POST", "/renewals/a?key=k", &[("idempotency-key", "1")], 1_001)]
#[tokio::test]
async fn what_callers_get(
    #[case] method: &str,
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body: usize,
) {
    let harness = Harness::start(SHORT_SERVICE_TIME).await;
    let address = serve(&harness).await;
    let method = method.parse().unwrap();
    let mut req = reqwest::Client::new().request(method, format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    if body > 0 {
        req = req.body("x".repeat(body));
    }
    let summary = send(req).await;
    let runs = harness.server.stats().runs;
    assert_eq!(runs, u64::from(summary.contains(" done ")));
    let name = std::thread::current().name().unwrap().replace("::", "-");
    insta::assert_snapshot!(name, summary);
}

#[tokio::test]
async fn a_refusal_names_the_time_to_come_back() {
    let harness = Harness::start(SHORT_SERVICE_TIME).await;
    let address = serve(&harness).await;
    harness.fault(Fault::Shed);
    let url = format!("http://{address}/renewals/a?key=k");
    let summary = send(reqwest::Client::new().get(url)).await;
    insta::assert_snapshot!(summary);
}

/// Sends a request that must not run twice over a new connection.
async fn call(address: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(address).await.unwrap();
    let req = "POST /renewals/a?key=k HTTP/1.1\r\nhost: x\r\nidempotency-key: 1\r\n\
               content-length: 4\r\n\r\nbody";
    caller.write_all(req.as_bytes()).await.unwrap();
    caller
}

/// A caller's connection closes while its request runs: the request is cancelled at the server, and
/// the claim is kept, so that a repeat does not run again.
#[rstest]
#[case::at_its_home(false)]
#[case::at_another_router(true)]
#[tokio::test]
async fn a_connection_that_ends_cancels_its_request(#[case] forwarded: bool) {
    let harness = Harness::start(LONG_SERVICE_TIME).await;
    let address = if forwarded {
        serve_at_other_router(&harness).await
    } else {
        serve(&harness).await
    };
    let caller = call(address).await;
    harness.wait_for_runs(1).await;
    drop(caller);
    harness.wait_for_free_slots().await;
    let url = format!("http://{address}/renewals/a?key=k");
    let repeat = reqwest::Client::new().post(url).body("body");
    let summary = send(repeat.header("idempotency-key", "1")).await;
    assert!(summary.starts_with("409 unknown"), "{summary}");
    assert_eq!(harness.server.stats().runs, 1);
}

/// Serves the entry role of another router, which forwards requests to the home.
async fn serve_at_other_router(home: &Harness) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    serve_peers(home, listener);
    let deployment = home.cx.deployment.load_full().unwrap();
    let cx = context(
        "router-2",
        "127.0.0.1:1".parse().unwrap(),
        (*deployment).clone(),
    );
    add_member(&cx, "router-1", peer);
    let entry = Harness::with(cx, home.server.clone());
    entry.owner.set(None);
    serve(&entry).await
}

/// Reads one complete response with a content length, and returns its head.
async fn read_answer(caller: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        caller.read_exact(&mut byte).await.unwrap();
        text.push(byte[0]);
    }
    let head = String::from_utf8(text).unwrap().to_lowercase();
    let length = head.split("content-length: ").nth(1).unwrap();
    let length = length.split("\r\n").next().unwrap().parse().unwrap();
    let mut body = vec![0; length];
    caller.read_exact(&mut body).await.unwrap();
    head
}

const GET: &[u8] = b"GET /renewals/a?key=k HTTP/1.1\r\nhost: x\r\n\r\n";

#[tokio::test]
async fn a_stopping_router_finishes_requests_and_refuses_connections() {
    let harness = Harness::start(SHORT_SERVICE_TIME).await;
    let (address, callers) = serve_with_callers(&harness).await;
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(GET).await.unwrap();
    let before = read_answer(&mut caller).await;
    assert!(!before.contains("connection: close"), "{before}");

    harness.cx.stopping.store(true, Ordering::Relaxed);
    callers.stop_accepting();
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!callers.all_closed(), "an open connection was cut off");
    caller.write_all(GET).await.unwrap();
    let last = read_answer(&mut caller).await;
    assert!(last.contains("x-carawayrill-outcome: done"), "{last}");
    assert!(last.contains("connection: close"), "{last}");
    let left = caller.read(&mut [0]).await.unwrap();
    assert_eq!(0, left, "the connection stayed open");
    while !callers.all_closed() {
        tokio::task::yield_now().await;
    }
}
