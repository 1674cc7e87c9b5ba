//! This router's registration in the store, and its heartbeats to the relay.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::Version;
use carawayrill_core::object::Member;
use carawayrill_core::object::member_name;
use carawayrill_proto::wire;
use carawayrill_store::Error;

use crate::context::Context;
use crate::feed;
use crate::home::Home;
use crate::peer::convert;
use crate::relay::HeartbeatTable;

/// The delay before a failed registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// The timeout of one heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the current registration of this router.
#[must_use]
pub fn own_member(cx: &Context) -> Member {
    Member {
        router: cx.settings.router.clone(),
        incarnation: cx.incarnation,
        data_centre: cx.settings.data_centre.clone(),
        peer: cx.settings.peer,
        http: cx.settings.http,
        draining: cx.stopping.load(Ordering::Relaxed),
    }
}

/// Registers this router in the store, and retries until that succeeds.
pub async fn register(cx: &Context) {
    while let Err(err) = write_member(cx).await {
        log::warn!("could not write this router's registration: {err}");
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn write_member(cx: &Context) -> Result<Version, Error> {
    let member = own_member(cx);
    let name = member_name(&member.router);
    let value = serde_json::to_vec(&member).map_err(|err| Error::malformed(err.to_string()))?;
    let value = Bytes::from(value);
    // An earlier write may have taken effect although its answer was lost, so the object is read
    // first.
    let found = cx.store.get(&name).await?;
    let version = found
        .as_ref()
        .map_or_else(Version::default, |object| object.version);
    if found.is_some_and(|object| object.value == value) {
        return Ok(version);
    }
    cx.store.put(&name, value, version).await
}

/// Removes this router's registration from the store at the end of a planned stop. Tries only once,
/// as the controller removes a registration that remains.
pub async fn deregister(cx: &Context) {
    let name = member_name(&cx.settings.router);
    let removed = match cx.store.version(&name).await {
        Ok(version) => cx.store.delete(&name, version).await,
        Err(err) => Err(err),
    };
    if let Err(err) = removed {
        log::warn!("could not remove this router's registration: {err}");
    }
}

/// Sends heartbeats to the relay until the process ends.
pub async fn send_heartbeats(cx: Arc<Context>, home: Arc<Home>, heartbeats: Arc<HeartbeatTable>) {
    loop {
        tokio::time::sleep(cx.heartbeat_every()).await;
        let heartbeat = current_heartbeat(&cx, &home);
        match feed::relay_router(&cx) {
            Some(relay) if relay != cx.settings.router => send(&cx, &relay, heartbeat).await,
            _ => heartbeats.put(cx.settings.router.clone(), heartbeat),
        }
    }
}

/// Creates a heartbeat with the current state. Resets the load counts.
pub fn current_heartbeat(cx: &Context, home: &Home) -> wire::HeartbeatRequest {
    wire::HeartbeatRequest {
        stamp: convert::stamp(),
        router: cx.settings.router.to_string(),
        incarnation: cx.incarnation.0,
        data_centre: cx.settings.data_centre.to_string(),
        generation: cx.generation().0,
        draining: cx.stopping.load(Ordering::Relaxed),
        in_flight: cx.in_flight.load(Ordering::Relaxed),
        servers: home.server_statuses(cx),
        loads: home.take_loads(cx),
    }
}

async fn send(cx: &Context, relay: &RouterId, heartbeat: wire::HeartbeatRequest) {
    let Some(address) = cx.members.peer(relay) else {
        return;
    };
    let mut req = tonic::Request::new(heartbeat);
    req.set_timeout(HEARTBEAT_TIMEOUT);
    let reply = cx.peers.router(address).heartbeat(req).await;
    cx.members.record_call(relay, reply.is_ok(), cx.now());
}
