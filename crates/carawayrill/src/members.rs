//! The processes that run: from the store who they are, from themselves how they are.

use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_core::assignment::Assignment;
use carawayrill_core::data;
use carawayrill_core::id::Generation;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::Revision;
use carawayrill_core::id::RouterId;
use carawayrill_core::object::ControllerLease;
use carawayrill_core::object::DrainOrder;
use carawayrill_core::object::LEASES;
use carawayrill_core::object::MEMBERS;
use carawayrill_core::object::Member;
use carawayrill_proto::wire::StatusRequest;
use carawayrill_proto::wire::controller_client::ControllerClient;
use carawayrill_proto::wire::router_client::RouterClient;
use carawayrill_store::port::ObjectStore;
use serde::de::DeserializeOwned;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::error::Error;

/// How long one process may take to answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

data! {
    /// The part of a router's status page that commands use.
    pub struct RouterStatusPage {
        /// Its present run.
        pub incarnation: Incarnation,
        /// The configuration in force there.
        pub generation: Generation,
        /// Whether it leaves by plan.
        pub draining: bool,
        /// Requests of callers that are not answered yet.
        pub in_flight: u32,
        /// The assignments whose home it is.
        pub assignments: Vec<Assignment>,
    }
}

/// One router as the store and the router itself see it.
#[derive(Debug, Clone)]
pub struct RouterStatus {
    /// What the store says.
    pub member: Member,
    /// What the router says; `None` if it does not answer.
    pub page: Option<RouterStatusPage>,
    /// Why there is no page.
    pub error: String,
}

/// Reads all objects below `prefix`.
pub async fn read_all<T: DeserializeOwned>(
    store: &dyn ObjectStore,
    prefix: &str,
) -> Result<Vec<T>, Error> {
    let found = store.watch(prefix, Revision(0), Duration::ZERO).await?;
    let objects = found.objects.iter();
    objects
        .map(|object| {
            serde_json::from_slice(&object.value).map_err(|err| {
                Error::invalid(format!(
                    "The stored object {} can't be read: {err}",
                    object.name
                ))
            })
        })
        .collect()
}

/// Lists the routers that the store knows.
pub async fn list_routers(store: &dyn ObjectStore) -> Result<Vec<Member>, Error> {
    read_all(store, MEMBERS).await
}

/// Lists the holders of controllers' leases.
pub async fn list_leases(store: &dyn ObjectStore) -> Result<Vec<ControllerLease>, Error> {
    read_all(store, LEASES).await
}

/// Lists the drain orders.
pub async fn list_drain_orders(store: &dyn ObjectStore) -> Result<Vec<DrainOrder>, Error> {
    read_all(store, carawayrill_core::object::DRAINS).await
}

/// Asks all routers at once for their status.
pub async fn query_routers(members: Vec<Member>) -> Vec<RouterStatus> {
    let queries: Vec<_> = members
        .into_iter()
        .map(|member| tokio::spawn(query_router(member)))
        .collect();
    let mut statuses = Vec::new();
    for response in queries {
        statuses.extend(response.await);
    }
    statuses.sort_by(|a: &RouterStatus, b| a.member.router.cmp(&b.member.router));
    statuses
}

/// Asks one router.
async fn query_router(member: Member) -> RouterStatus {
    match router_page(member.peer).await {
        Ok(page) => RouterStatus {
            member,
            page: Some(page),
            error: String::new(),
        },
        Err(error) => RouterStatus {
            member,
            page: None,
            error,
        },
    }
}

/// Reads the status page of the router at `peer`.
async fn router_page(peer: SocketAddr) -> Result<RouterStatusPage, String> {
    let mut client = RouterClient::new(connect(peer).await?);
    let response = client.status(StatusRequest::default()).await;
    let reply = response.map_err(|status| status.message().to_owned())?;
    serde_json::from_slice(&reply.into_inner().json).map_err(|err| err.to_string())
}

/// Reads the status page of the controller at `peer`.
pub async fn controller_page(peer: SocketAddr) -> Result<serde_json::Value, String> {
    let mut client = ControllerClient::new(connect(peer).await?);
    let response = client.status(StatusRequest::default()).await;
    let reply = response.map_err(|status| status.message().to_owned())?;
    serde_json::from_slice(&reply.into_inner().json).map_err(|err| err.to_string())
}

/// Opens a connection to another process.
async fn connect(peer: SocketAddr) -> Result<Channel, String> {
    Endpoint::from_shared(format!("http://{peer}"))
        .map_err(|err| err.to_string())?
        .connect_timeout(STATUS_TIMEOUT)
        .timeout(STATUS_TIMEOUT)
        .connect()
        .await
        .map_err(|_err| format!("no answer from {peer}"))
}

/// Tells whether a router with this name is known.
pub fn has_router(members: &[Member], name: &str) -> bool {
    let has_name = |member: &Member| RouterId::as_str(&member.router) == name;
    members.iter().any(has_name)
}
