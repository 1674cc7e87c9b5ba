//! A router's serving driver in front of test servers, without the ownership table and without store
//! outages.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use carawayrill_config::daemon::RouterSettings;
use carawayrill_config::deployment::DataCentre;
use carawayrill_config::deployment::Deployment;
use carawayrill_config::deployment::KeySource;
use carawayrill_config::deployment::OnStoreOutage;
use carawayrill_config::deployment::Repeat;
use carawayrill_config::deployment::Server;
use carawayrill_config::deployment::Service;
use carawayrill_config::deployment::Timing;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::Generation;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::Version;
use carawayrill_core::object::Member;
use carawayrill_core::ownership::home::Denial;
use carawayrill_core::ownership::home::Permit;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;
use carawayrill_core::unit::BitRate;
use carawayrill_core::unit::ByteSize;
use carawayrill_core::unit::Span;
use carawayrill_proto::wire::router_server::RouterServer;
use carawayrill_router::context::Context;
use carawayrill_router::home::Home;
use carawayrill_router::home::in_flight::InFlightRequests;
use carawayrill_router::home::ownership::OwnershipDriver;
use carawayrill_router::home::ownership::ServerReport;
use carawayrill_router::home::serve::authority::Authority;
use carawayrill_router::home::serve::driver::ServingDriver;
use carawayrill_router::home::serve::route::Route;
use carawayrill_router::message::Answer;
use carawayrill_router::message::Request;
use carawayrill_router::peer::service::PeerService;
use carawayrill_router::versions::VersionReader;
use carawayrill_store::http_servers::HttpServerControl;
use carawayrill_store::memory::MemoryStore;
use carawayrill_testkit::server;
use carawayrill_testkit::server::Settings;
use carawayrill_testkit::server::StandInServer;
use carawayrill_testkit::server::faults::Fault;
use carawayrill_testkit::server::faults::FaultOrder;
use http::HeaderMap;
use http::Method;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;

/// The token that all requests are sent under.
pub const TOKEN: Token = Token::new(4, 1);
/// The slots of each server.
pub const SLOTS: u32 = 3;
/// The maximum time that a test waits for anything before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An authority under which one server owns all shards, with a token that the test sets.
#[derive(Debug, Default)]
pub struct FixedOwner {
    token: Mutex<Option<Token>>,
}

impl FixedOwner {
    /// Makes this router the home under a token, or no home with `None`.
    pub fn set(&self, token: Option<Token>) {
        *self.token.lock().unwrap() = token;
    }
}

impl Authority for FixedOwner {
    fn permit(&self, _now: Time, shard: &ShardId) -> Result<Permit, Denial> {
        let token = *self.token.lock().unwrap();
        let token = token.ok_or(Denial::NotHome { home: None })?;
        Ok(permit(shard, token))
    }

    fn confirm(&self, _now: Time, _permit: &Permit) -> Result<(), Denial> {
        Ok(())
    }

    fn server_reports(&self) -> Vec<ServerReport> {
        Vec::new()
    }
}

fn permit(shard: &ShardId, token: Token) -> Permit {
    Permit {
        shard: shard.clone(),
        server: server_id(),
        token,
        via: None,
        latest: Time(u64::MAX),
    }
}

/// A router's serving driver in front of one server.
pub struct Harness {
    pub cx: Arc<Context>,
    pub serving: Arc<ServingDriver>,
    pub server: StandInServer,
    pub in_flight: Arc<InFlightRequests>,
    pub owner: Arc<FixedOwner>,
}

/// Returns the shard that all requests are for.
pub fn shard() -> ShardId {
    ShardId::range("renewals".parse().unwrap(), 0)
}

/// Returns the identifier of the server.
pub fn server_id() -> ServerId {
    "renewals-1".parse().unwrap()
}

const fn millis(millis: u64) -> Span {
    Span::from_millis(millis)
}

fn service() -> Service {
    Service {
        id: "renewals".parse().unwrap(),
        key: KeySource::Query("key".into()),
        shards: 1,
        shards_per_block: 1,
        slots: SLOTS,
        connections: 20,
        repeat: Repeat::SafeMethods,
        claim_window: millis(60_000),
        default_deadline: millis(20_000),
        max_deadline: millis(60_000),
        max_body: ByteSize(1_000),
        queue_limit: 100,
        warm_up: millis(0),
        on_store_outage: OnStoreOutage::Stop,
        fencing: false,
    }
}

/// Returns a deployment with one service and one server.
pub fn deployment(address: SocketAddr) -> Deployment {
    let data_centres = ["east-1", "west-1"].map(|id| DataCentre {
        id: id.parse().unwrap(),
        region: id.strip_suffix("-1").unwrap().parse().unwrap(),
    });
    Deployment {
        generation: Generation(1),
        name: "bench".into(),
        data_centres: data_centres.to_vec(),
        region_link: BitRate(1_000_000_000),
        services: vec![service()],
        site_services: Vec::new(),
        servers: vec![Server {
            id: server_id(),
            service: "renewals".parse().unwrap(),
            data_centre: "east-1".parse().unwrap(),
            address,
        }],
        timing: Timing {
            grant_ttl: millis(2_000),
            renew_every: millis(500),
            authority: millis(2_000),
            check_every: millis(500),
            server_silence: millis(1_500),
            router_silence: millis(1_500),
            heartbeat_every: millis(300),
            controller_lease: millis(3_000),
            drift_ppm: 500,
        },
    }
}

/// Creates the context of a router with `deployment` in force.
pub fn context(router: &str, peer: SocketAddr, deployment: Deployment) -> Arc<Context> {
    let settings = RouterSettings {
        router: router.parse().unwrap(),
        data_centre: "east-1".parse().unwrap(),
        http: "127.0.0.1:1".parse().unwrap(),
        peer,
        store: "http://127.0.0.1:1".into(),
        seeds: Vec::new(),
        vm_list: None,
        statsd: None,
        stop_grace: millis(1_000),
    };
    let store = Arc::new(MemoryStore::new());
    let metrics = carawayrill_telemetry::metrics_client(None).unwrap();
    let cx = Context::new(settings, Incarnation(1), store, metrics);
    cx.deployment.store(Some(Arc::new(deployment)));
    set_assignment(&cx, Version(1), assignment());
    Arc::new(cx)
}

/// Returns the first assignment of the shard: `router-1` is its home.
pub fn assignment() -> Assignment {
    Assignment {
        shard: shard(),
        owner: server_id(),
        standby: None,
        home: router("router-1"),
        home_run: Incarnation(1),
        standby_home: None,
        standby_home_run: Incarnation(0),
        token: TOKEN,
        reason: Reason::Initial,
        since: WallTime(0),
    }
}

/// Applies an assignment to a router's routing table.
pub fn set_assignment(cx: &Context, version: Version, row: Assignment) {
    let id = BlockId {
        service: shard().service,
        index: 0,
    };
    let mut block = Block::empty(id);
    block.set(row);
    assert!(cx.routes.write().unwrap().apply(version, block));
}

/// Starts a test server whose requests run for `service_time`.
pub async fn start_server(service_time: Duration) -> (StandInServer, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = Settings {
        slots: SLOTS,
        service_time,
        fencing: false,
        ..Settings::new(server_id())
    };
    let (server, running) = server::start(listener, settings).unwrap();
    (server, running.address)
}

impl Harness {
    /// Starts a server and a serving driver in front of it.
    pub async fn start(service_time: Duration) -> Self {
        let (server, address) = start_server(service_time).await;
        let peer = "127.0.0.1:1".parse().unwrap();
        let cx = context("router-1", peer, deployment(address));
        Self::with(cx, server)
    }

    /// Creates a serving driver in front of a running server.
    pub fn with(cx: Arc<Context>, server: StandInServer) -> Self {
        let owner = Arc::new(FixedOwner::default());
        owner.set(Some(TOKEN));
        let servers = Arc::new(HttpServerControl::new().unwrap());
        let authority = Arc::clone(&owner) as Arc<dyn Authority>;
        let serving = Arc::new(ServingDriver::new(authority, servers).unwrap());
        tokio::spawn(Arc::clone(&serving).run(Arc::clone(&cx)));
        Self {
            cx,
            serving,
            server,
            in_flight: Arc::default(),
            owner,
        }
    }

    /// Creates a request with a body and an optional idempotency key.
    pub fn request(&self, body: &str, key: Option<&str>) -> Request {
        Request {
            id: self.cx.next_request_id(),
            service: shard().service,
            shard: shard(),
            key: KeyHash::of(b"mother"),
            method: Method::POST,
            path_and_query: "/renewals/a?key=mother".into(),
            headers: HeaderMap::new(),
            body: body.to_owned().into(),
            deadline: self.cx.now() + TEST_TIMEOUT,
            idempotency_key: key.map(Into::into),
            caller: "caller".into(),
            on_behalf: None,
        }
    }

    /// Returns the route of a request to the server.
    pub fn route(&self, req: &Request) -> Route {
        Route::Home(self.owner.permit(Time(0), &req.shard).unwrap())
    }

    /// Serves a request and returns its answer.
    pub async fn answer(&self, req: Request) -> Answer {
        let in_flight_guard = self.in_flight.begin(&req.shard);
        let route = self.route(&req);
        let answer = self.serving.answer(&self.cx, req, route, in_flight_guard);
        tokio::time::timeout(TEST_TIMEOUT * 2, answer)
            .await
            .unwrap()
    }

    /// Serves a request in a new task.
    pub fn spawn(&self, req: Request) -> JoinHandle<Answer> {
        let (serving, cx) = (Arc::clone(&self.serving), Arc::clone(&self.cx));
        let in_flight_guard = self.in_flight.begin(&req.shard);
        let route = self.route(&req);
        tokio::spawn(async move { serving.answer(&cx, req, route, in_flight_guard).await })
    }

    /// Sets the fault that the server injects.
    pub fn fault(&self, fault: Fault) {
        self.server.set_fault(FaultOrder {
            fault,
            ms: 0,
            count: None,
        });
    }

    /// Waits until the server has started at least `runs` requests.
    pub async fn wait_for_runs(&self, runs: u64) {
        wait_until(|| self.server.stats().runs >= runs).await;
    }

    /// Waits until no request is in flight at the server or queued for it.
    pub async fn wait_for_free_slots(&self) {
        wait_until(|| self.serving.load_of(&server_id()) == (0, 0)).await;
    }
}

/// Creates the home role with the harness's serving driver.
pub fn home_role(harness: &Harness) -> Home {
    let servers = Arc::new(HttpServerControl::new().unwrap());
    let ownership = Arc::new(OwnershipDriver::new(servers, versions(harness)));
    Home::with_serving(ownership, Arc::clone(&harness.serving))
}

/// Serves the gRPC service of a router on `listener`.
pub fn serve_peers(harness: &Harness, listener: TcpListener) {
    let service = PeerService::new(
        Arc::clone(&harness.cx),
        Arc::new(home_role(harness)),
        versions(harness),
        Arc::default(),
    );
    let server = tonic::transport::Server::builder().add_service(RouterServer::new(service));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
}

/// Adds another router to a router's member table.
pub fn add_member(cx: &Context, router: &str, peer: SocketAddr) {
    cx.members.put(Member {
        router: router.parse().unwrap(),
        incarnation: Incarnation(1),
        data_centre: "west-1".parse().unwrap(),
        peer,
        http: peer,
        draining: false,
    });
}

/// Creates the version reader of a router.
pub fn versions(harness: &Harness) -> Arc<VersionReader> {
    let store = Arc::clone(&harness.cx.store);
    Arc::new(VersionReader::new(store, harness.cx.clock))
}

/// Waits until `done` returns true.
pub async fn wait_until(done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.unwrap();
}

/// Formats an answer as its outcome, status and reason.
pub fn summary(answer: &Answer) -> String {
    let reason = answer.reason.map(|reason| format!(" {reason}"));
    let (outcome, status) = (answer.outcome, answer.status);
    format!("{outcome} {status}{}", reason.unwrap_or_default())
}

/// Returns a router's identifier.
pub fn router(name: &str) -> RouterId {
    name.parse().unwrap()
}
