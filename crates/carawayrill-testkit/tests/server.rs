//! The stand-in server: grants, slots, refusals, faults and records.

use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_core::id::Incarnation;
use carawayrill_core::id::ShardId;
use carawayrill_core::order::Order;
use carawayrill_core::order::OrderReply;
use carawayrill_core::time::ServerTime;
use carawayrill_core::token::Token;
use carawayrill_store::CallOutcome;
use carawayrill_store::http_servers::HttpServerControl;
use carawayrill_store::port::ServerControl;
use carawayrill_testkit::server;
use carawayrill_testkit::server::Settings;
use carawayrill_testkit::server::StandInServer;
use carawayrill_testkit::server::faults::Fault;
use carawayrill_testkit::server::faults::FaultOrder;
use carawayrill_testkit::server::records::Page;
use carawayrill_testkit::server::records::RunEnd;
use reqwest::RequestBuilder;
use reqwest::Response;
use rstest::rstest;
use tokio::net::TcpListener;

/// Bounds a call that has to end by itself.
const HANG_GUARD: Duration = Duration::from_secs(20);
/// A grant that does not end during a test.
const LONG_TTL: Duration = Duration::from_hours(1);
const TOKEN: Token = Token::new(4, 1);

struct Fixture {
    server: StandInServer,
    address: SocketAddr,
    orders: HttpServerControl,
    http: reqwest::Client,
}

impl Fixture {
    async fn new(change: impl FnOnce(&mut Settings)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut settings = Settings::new("forms-1".parse().expect("an id"));
        change(&mut settings);
        let (server, running) = server::start(listener, settings).expect("a server");
        Self {
            server,
            address: running.address,
            orders: HttpServerControl::new().expect("a client"),
            http: reqwest::Client::new(),
        }
    }

    /// A server that holds a long grant under [`TOKEN`].
    async fn granted(change: impl FnOnce(&mut Settings)) -> Self {
        let this = Self::new(change).await;
        let seen = this.order(Vec::new()).await;
        let reply = this
            .order(vec![grant(TOKEN, seen.clock + LONG_TTL, seen.incarnation)])
            .await;
        assert!(reply.acks[0].accepted);
        this
    }

    async fn order(&self, orders: Vec<Order>) -> OrderReply {
        let reply = self.orders.order(self.address, orders, HANG_GUARD).await;
        reply.expect("an acknowledgement")
    }

    fn fault(&self, fault: Fault) {
        self.server.set_fault(FaultOrder {
            fault,
            ms: 0,
            count: None,
        });
    }

    fn request(&self, id: &str, token: Token) -> RequestBuilder {
        self.http
            .post(format!("http://{}/forms/k1?x=1", self.address))
            .header("x-carawayrill-request", id)
            .header("x-carawayrill-service", "forms")
            .header("x-carawayrill-shard", shard().to_string())
            .header("x-carawayrill-token", token.to_string())
            .header("idempotency-key", format!("key-{id}"))
            .body("a body")
    }

    async fn records(&self) -> Page {
        let url = format!("http://{}/control/records", self.address);
        let resp = self.http.get(url).send().await.expect("an answer");
        resp.json().await.expect("a page")
    }

    /// Waits until `done` holds for the number of runs.
    async fn until_runs(&self, runs: u64) {
        while self.server.stats().runs < runs {
            tokio::task::yield_now().await;
        }
    }
}

fn shard() -> ShardId {
    "forms/0".parse().expect("a shard")
}

fn grant(token: Token, until: ServerTime, incarnation: Incarnation) -> Order {
    Order::Grant {
        shard: shard(),
        token,
        until,
        home: "r1".parse().expect("an id"),
        incarnation,
    }
}

fn refused(resp: &Response) -> Option<&str> {
    resp.headers()
        .get("x-carawayrill-refused")
        .map(|value| value.to_str().expect("text"))
}

#[tokio::test]
async fn a_request_under_its_grant_runs_once_and_is_answered_whole() {
    let fixture = Fixture::granted(|_settings| {}).await;
    let resp = fixture.request("q1", TOKEN).send().await.expect("answer");
    assert_eq!("q1", resp.headers()["x-carawayrill-request"]);
    insta::assert_snapshot!(resp.text().await.expect("a whole body"));
    let page = fixture.records().await;
    let run = &page.runs[0];
    assert_eq!(
        ("q1", Some("key-q1"), RunEnd::Done, 1),
        (
            run.request.as_str(),
            run.idempotency_key.as_deref(),
            run.end,
            page.runs.len()
        )
    );
}

#[rstest]
#[case::lower_token(Token::new(4, 0), 409, "fenced")]
#[case::higher_token(Token::new(4, 2), 409, "no-grant")]
#[tokio::test]
async fn another_token_is_refused(#[case] token: Token, #[case] status: u16, #[case] why: &str) {
    let fixture = Fixture::granted(|_settings| {}).await;
    let resp = fixture.request("q1", token).send().await.expect("answer");
    assert_eq!(
        (status, Some(why)),
        (resp.status().as_u16(), refused(&resp))
    );
    assert!(fixture.records().await.runs.is_empty());
}

#[tokio::test]
async fn a_server_without_fencing_runs_what_it_gets() {
    let fixture = Fixture::new(|settings| settings.fencing = false).await;
    let resp = fixture.request("q1", TOKEN).send().await.expect("answer");
    assert_eq!(200, resp.status().as_u16());
}

#[tokio::test]
async fn token_and_clock_are_checked_when_the_run_starts() {
    let fixture = Fixture::granted(|_settings| {}).await;
    fixture.fault(Fault::Freeze);
    let late = tokio::spawn(fixture.request("q1", TOKEN).send());
    let seen_by = fixture
        .orders
        .order(fixture.address, Vec::new(), Duration::from_millis(100));
    assert_eq!(
        CallOutcome::Unknown,
        seen_by.await.expect_err("frozen").outcome()
    );
    // The revocation is taken in while the request waits, and comes before it: the answer to an
    // order shows that the order was obeyed.
    let revoke = Order::Revoke {
        shard: shard(),
        token: TOKEN,
    };
    fixture.fault(Fault::None);
    fixture.order(vec![revoke]).await;
    let resp = late.await.expect("a task").expect("an answer");
    let page = fixture.records().await;
    match refused(&resp) {
        Some(why) => assert_eq!(("fenced", 0), (why, page.runs.len())),
        // It may have started before the revocation was obeyed; then the record says so.
        None => assert_eq!(1, page.runs.len()),
    }
    let after = fixture.request("q2", TOKEN).send().await.expect("answer");
    assert_eq!(Some("fenced"), refused(&after));
}

#[tokio::test]
async fn slots_are_never_exceeded_and_the_queue_sheds() {
    let fixture = Fixture::granted(|settings| {
        settings.slots = 1;
        settings.queue = 1;
        settings.service_time = HANG_GUARD;
    })
    .await;
    let first = tokio::spawn(fixture.request("q1", TOKEN).send());
    fixture.until_runs(1).await;
    let second = tokio::spawn(fixture.request("q2", TOKEN).send());
    while fixture.server.stats().waited == 0 {
        tokio::task::yield_now().await;
    }
    let third = fixture.request("q3", TOKEN).send().await.expect("answer");
    assert_eq!(Some("shed"), refused(&third));
    for id in ["q2", "q1"] {
        let cancel = fixture.orders.cancel(fixture.address, id, HANG_GUARD);
        cancel.await.expect("a cancellation");
    }
    let second = second.await.expect("a task").expect("an answer");
    assert_eq!(Some("cancelled"), refused(&second));
    // The first ran in part: no refusal, because that would say that it was not run.
    let first = first.await.expect("a task").expect("an answer");
    assert_eq!((499, None), (first.status().as_u16(), refused(&first)));
    assert_eq!(1, fixture.server.stats().most_running);
}

#[rstest]
#[case::shed(Fault::Shed, "shed")]
#[tokio::test]
async fn refusals_on_demand(#[case] fault: Fault, #[case] why: &str) {
    let fixture = Fixture::granted(|_settings| {}).await;
    fixture.fault(fault);
    let resp = fixture.request("q1", TOKEN).send().await.expect("answer");
    assert_eq!(Some(why), refused(&resp));
}

#[tokio::test]
async fn a_draining_server_refuses_and_says_so() {
    let fixture = Fixture::granted(|_settings| {}).await;
    fixture.server.drain(true);
    let resp = fixture.request("q1", TOKEN).send().await.expect("answer");
    assert_eq!(Some("draining"), refused(&resp));
    assert!(fixture.order(Vec::new()).await.load.draining);
}

#[tokio::test]
async fn a_passed_deadline_is_refused_unrun() {
    let fixture = Fixture::granted(|_settings| {}).await;
    let req = fixture.request("q1", TOKEN);
    let resp = req.header("x-carawayrill-deadline-ms", "0").send().await;
    let resp = resp.expect("answer");
    assert_eq!(
        (504, Some("deadline")),
        (resp.status().as_u16(), refused(&resp))
    );
}

#[rstest]
#[case::break_off(Fault::BreakOff)]
#[case::lose_answer(Fault::LoseAnswer)]
#[tokio::test]
async fn a_broken_answer_is_no_answer_but_the_request_ran(#[case] fault: Fault) {
    let fixture = Fixture::granted(|_settings| {}).await;
    fixture.fault(fault);
    let whole = match fixture.request("q1", TOKEN).send().await {
        Ok(resp) => resp.bytes().await.is_ok(),
        Err(_broken) => false,
    };
    assert!(!whole);
    assert_eq!(1, fixture.records().await.runs.len());
}

#[tokio::test]
async fn an_order_whose_acknowledgement_is_lost_was_obeyed() {
    let fixture = Fixture::granted(|_settings| {}).await;
    fixture.fault(Fault::LoseAck);
    let revoke = Order::Revoke {
        shard: shard(),
        token: TOKEN,
    };
    let lost = fixture
        .orders
        .order(fixture.address, vec![revoke], HANG_GUARD)
        .await;
    assert_eq!(
        CallOutcome::Unknown,
        lost.expect_err("a lost answer").outcome()
    );
    let resp = fixture.request("q1", TOKEN).send().await.expect("answer");
    assert_eq!(Some("fenced"), refused(&resp));
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let fixture = Fixture::new(|settings| settings.connections = 0).await;
    let refused = fixture
        .orders
        .order(fixture.address, Vec::new(), HANG_GUARD)
        .await;
    assert_eq!(CallOutcome::Unknown, refused.expect_err("closed").outcome());
}
