//! The running processes, which are listed in the store, and their status pages.

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

/// Timeout of a status request to one process.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

data! {
    /// The fields of a router's status page that commands use.
    pub struct RouterStatusPage {
        /// Current incarnation of the router.
        pub incarnation: Incarnation,
        /// Generation in force at the router.
        pub generation: Generation,
        /// Whether the router is draining.
        pub draining: bool,
        /// Requests of callers that are in flight.
        pub in_flight: u32,
        /// Assignments whose home the router is.
        pub assignments: Vec<Assignment>,
    }
}

/// The status of one router, from the store and from the router itself.
#[derive(Debug, Clone)]
pub struct RouterStatus {
    /// Entry of the router in the store.
    pub member: Member,
    /// Status page of the router; `None` if the request failed.
    pub page: Option<RouterStatusPage>,
    /// Reason why there is no page; empty if there is one.
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
                    "could not read the stored object {}: {err}",
                    object.name
                ))
            })
        })
        .collect()
}

/// Lists the routers in the store.
pub async fn list_routers(store: &dyn ObjectStore) -> Result<Vec<Member>, Error> {
    read_all(store, MEMBERS).await
}

/// Lists the leases of controllers.
pub async fn list_leases(store: &dyn ObjectStore) -> Result<Vec<ControllerLease>, Error> {
    read_all(store, LEASES).await
}

/// Lists the drain orders.
pub async fn list_drain_orders(store: &dyn ObjectStore) -> Result<Vec<DrainOrder>, Error> {
    read_all(store, carawayrill_core::object::DRAINS).await
}

/// Requests the status of all routers concurrently.
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

/// Requests the status of one router.
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
        .map_err(|_err| format!("no response from {peer}"))
}

/// Returns whether there is a router of this name.
pub fn has_router(members: &[Member], name: &str) -> bool {
    let has_name = |member: &Member| RouterId::as_str(&member.router) == name;
    members.iter().any(has_name)
}
