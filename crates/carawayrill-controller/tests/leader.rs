//! The daemon's tasks with an in-memory store: first placement, lost responses and a second
//! controller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use carawayrill_config::ConfigFiles;
use carawayrill_config::deployment::Deployment;
use carawayrill_controller::Error;
use carawayrill_controller::config::ConfigSource;
use carawayrill_controller::leader::Leader;
use carawayrill_controller::leader::WATCHED_PREFIXES;
use carawayrill_controller::lease::LeaseTable;
use carawayrill_controller::router_control::GrpcRouterControl;
use carawayrill_controller::state::State;
use carawayrill_core::assignment::Block;
use carawayrill_core::id::Generation;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::Revision;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::Version;
use carawayrill_core::object::CONFIG_HEAD;
use carawayrill_core::object::DRAINS;
use carawayrill_core::object::DrainOrder;
use carawayrill_core::object::Member;
use carawayrill_core::object::member_name;
use carawayrill_core::order::LoadReport;
use carawayrill_core::order::Order;
use carawayrill_core::order::OrderReply;
use carawayrill_core::time::ServerTime;
use carawayrill_core::time::WallTime;
use carawayrill_store::memory::Fault;
use carawayrill_store::memory::MemoryStore;
use carawayrill_store::port::Changes;
use carawayrill_store::port::Object;
use carawayrill_store::port::ObjectStore;
use carawayrill_store::port::ServerControl;
use tokio::time::timeout;

/// Three data centres of one region with one server each, and 32 shards in blocks of 8.
const BASE: &str = "
name: example
region_link: 1Gbit/s
data_centres:
  north-1: {region: north}
  north-2: {region: north}
  north-3: {region: north}
services:
  forms: {key: header x-form, shards: 32, shards_per_block: 8, slots: 4, connections: 20}
servers:
  forms-1: {service: forms, data_centre: north-1, address: 127.0.0.1:21001}
  forms-2: {service: forms, data_centre: north-2, address: 127.0.0.1:21002}
  forms-3: {service: forms, data_centre: north-3, address: 127.0.0.1:21003}
timing: {heartbeat_every: 20ms, router_silence: 2s, controller_lease: 500ms}
";

#[derive(Debug)]
struct FixedConfig(Deployment);

#[async_trait]
impl ConfigSource for FixedConfig {
    async fn read(&self) -> Result<Option<Deployment>, Error> {
        Ok(Some(self.0.clone()))
    }
}

/// Servers that all respond except the lost ones. A server is identified by its port.
#[derive(Debug, Default)]
struct FakeServers {
    lost: Vec<ServerId>,
}

#[async_trait]
impl ServerControl for FakeServers {
    async fn order(
        &self,
        address: SocketAddr,
        _orders: Vec<Order>,
        _wait: Duration,
    ) -> Result<OrderReply, carawayrill_store::Error> {
        let index = address.port() - 21_000;
        let server = ServerId::try_from(format!("forms-{index}").as_str()).unwrap();
        if self.lost.contains(&server) {
            return Err(carawayrill_store::Error::no_response("lost"));
        }
        Ok(OrderReply {
            server,
            incarnation: Incarnation(1),
            clock: ServerTime(1),
            load: LoadReport::default(),
            acks: Vec::new(),
        })
    }

    async fn cancel(
        &self,
        _address: SocketAddr,
        _request: &str,
        _wait: Duration,
    ) -> Result<(), carawayrill_store::Error> {
        Ok(())
    }
}

/// A store that never answers the first watch of drain orders that waits for a change.
#[derive(Debug)]
struct LostWatch {
    store: MemoryStore,
    lost: AtomicBool,
}

/// The time after its wait at which a client gives a watch up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

#[async_trait]
impl ObjectStore for LostWatch {
    async fn get(&self, name: &str) -> Result<Option<Object>, carawayrill_store::Error> {
        self.store.get(name).await
    }

    async fn version(&self, name: &str) -> Result<Version, carawayrill_store::Error> {
        self.store.version(name).await
    }

    async fn put(
        &self,
        name: &str,
        value: Bytes,
        expected: Version,
    ) -> Result<Version, carawayrill_store::Error> {
        self.store.put(name, value, expected).await
    }

    async fn delete(&self, name: &str, expected: Version) -> Result<(), carawayrill_store::Error> {
        self.store.delete(name, expected).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, carawayrill_store::Error> {
        let is_lost = prefix == DRAINS && after != Revision(0);
        if is_lost && !self.lost.swap(true, Ordering::Relaxed) {
            tokio::time::sleep(wait + CALL_TIMEOUT).await;
            return Err(carawayrill_store::Error::no_response("lost"));
        }
        self.store.watch(prefix, after, wait).await
    }
}

fn leader(name: &str, store: &MemoryStore) -> Leader {
    let peer: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let lease_duration = Duration::from_millis(500);
    let me = carawayrill_core::id::ControllerId::try_from(name).unwrap();
    let lease = LeaseTable::new(me.clone(), Incarnation(1), peer, lease_duration);
    let mut deployment = ConfigFiles::new(BASE).check().unwrap().deployment;
    deployment.generation = Generation(1);
    Leader {
        state: Arc::new(State::new(me, lease)),
        store: Arc::new(store.clone()),
        config: Arc::new(FixedConfig(deployment)),
        servers: Arc::new(FakeServers::default()),
        routers: Arc::new(GrpcRouterControl::new("c-0".parse().unwrap())),
        block: 0,
    }
}

fn spawn_tasks(leader: &Leader) -> Vec<tokio::task::JoinHandle<()>> {
    let mut tasks = Vec::new();
    for prefix in WATCHED_PREFIXES {
        let leader = leader.clone();
        tasks.push(tokio::spawn(async move { leader.watch(prefix).await }));
    }
    let renewer = leader.clone();
    tasks.push(tokio::spawn(async move { renewer.maintain_lease().await }));
    let prober = leader.clone();
    tasks.push(tokio::spawn(async move { prober.probe_servers().await }));
    let ticker = leader.clone();
    tasks.push(tokio::spawn(async move { ticker.run_ticks().await }));
    tasks
}

async fn add_routers(store: &MemoryStore) {
    store
        .put(CONFIG_HEAD, Bytes::from("{}"), Version(0))
        .await
        .unwrap();
    for index in 1..=3 {
        let member = Member {
            router: format!("router-{index}").parse().unwrap(),
            incarnation: Incarnation(1),
            data_centre: format!("north-{index}").parse().unwrap(),
            peer: "127.0.0.1:1".parse().unwrap(),
            http: "127.0.0.1:1".parse().unwrap(),
            draining: false,
        };
        let value = Bytes::from(serde_json::to_vec(&member).unwrap());
        let name = member_name(&member.router);
        store.put(&name, value, Version(0)).await.unwrap();
    }
}

/// Waits until all shards are assigned, and returns the blocks with their versions.
async fn all_assigned(store: &MemoryStore) -> Vec<(Version, Block)> {
    let poll = async {
        loop {
            let changes = store
                .watch("assignments/", Revision(0), Duration::ZERO)
                .await;
            let blocks: Vec<(Version, Block)> = changes
                .map(|changes| changes.objects)
                .unwrap_or_default()
                .iter()
                .map(|object| {
                    (
                        object.version,
                        serde_json::from_slice(&object.value).unwrap(),
                    )
                })
                .collect();
            let rows: usize = blocks.iter().map(|(_, block)| block.rows.len()).sum();
            if rows == 32 {
                return blocks;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(20), poll)
        .await
        .expect("all shards assigned")
}

#[tokio::test]
async fn first_placement_survives_lost_responses() {
    let store = MemoryStore::new();
    add_routers(&store).await;
    store.set_fault_for(Fault::LoseAnswer, 5);
    let leader = leader("c-1", &store);
    let tasks = spawn_tasks(&leader);
    let blocks = all_assigned(&store).await;
    assert_eq!(blocks.len(), 4);
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
}

/// A server that doesn't respond is neither owner nor standby of any shard.
#[tokio::test]
async fn lost_server_gets_no_shards() {
    let store = MemoryStore::new();
    add_routers(&store).await;
    let lost = ServerId::try_from("forms-2").unwrap();
    let servers = FakeServers {
        lost: vec![lost.clone()],
    };
    let leader = Leader {
        servers: Arc::new(servers),
        ..leader("c-1", &store)
    };
    let tasks = spawn_tasks(&leader);
    let blocks = all_assigned(&store).await;
    let mut rows = blocks.iter().flat_map(|(_, block)| &block.rows);
    assert!(rows.all(|row| row.owner != lost && row.standby.as_ref() != Some(&lost)));
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn second_controller_takes_over_and_changes_nothing() {
    let store = MemoryStore::new();
    add_routers(&store).await;
    let first = leader("c-1", &store);
    let tasks = spawn_tasks(&first);
    let before = all_assigned(&store).await;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    let second = leader("c-2", &store);
    let tasks = spawn_tasks(&second);
    let takeover = async {
        while !second.state.tables().is_ready(second.state.now()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        second.tick().await;
    };
    timeout(Duration::from_secs(20), takeover)
        .await
        .expect("the second controller leads");
    assert_eq!(all_assigned(&store).await, before);
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
}

/// The time within which a leader must know of an order to drain a server. A router that is told by a
/// relay needs as long.
const DRAIN_ORDER_TIMEOUT: Duration = Duration::from_secs(6);

#[tokio::test]
async fn a_drain_order_is_seen_after_a_watch_was_lost() {
    let store = MemoryStore::new();
    add_routers(&store).await;
    let lossy = LostWatch {
        store: store.clone(),
        lost: AtomicBool::new(false),
    };
    let lossy = Arc::new(lossy);
    let leader = Leader {
        store: Arc::clone(&lossy) as Arc<dyn ObjectStore>,
        ..leader("c-1", &store)
    };
    let tasks = spawn_tasks(&leader);
    all_assigned(&store).await;
    let poll = async |condition: &dyn Fn() -> bool| {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    poll(&|| lossy.lost.load(Ordering::Relaxed)).await;
    let order = DrainOrder {
        name: "forms-1".into(),
        reason: "test".into(),
        since: WallTime(1),
    };
    let value = Bytes::from(serde_json::to_vec(&order).unwrap());
    let name = format!("{DRAINS}forms-1");
    store.put(&name, value, Version(0)).await.unwrap();
    let is_known = || leader.state.tables().view.drains.contains_key("forms-1");
    timeout(DRAIN_ORDER_TIMEOUT, poll(&is_known))
        .await
        .expect("the leader knows of the order");
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
}
