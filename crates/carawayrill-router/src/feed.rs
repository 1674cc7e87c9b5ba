//! Keeps the caches of the store's objects up to date and applies the changes.
//!
//! The relay of a data centre watches the store. The other routers watch the relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_config::accept;
use carawayrill_core::assignment::Block;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Revision;
use carawayrill_core::id::RouterId;
use carawayrill_core::object::CONFIG_HEAD;
use carawayrill_core::object::MEMBERS;
use carawayrill_core::object::Member;
use carawayrill_core::time::millis;
use carawayrill_proto::wire;
use carawayrill_store::port::Changes;
use carawayrill_store::port::Object;

use crate::cache::ObjectCache;
use crate::context::Context;
use crate::home::Home;
use crate::peer::convert;

/// The longest time that one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// The time that a watch at another router may exceed its wait before it times out.
const WATCH_MARGIN: Duration = Duration::from_secs(1);
/// The delay before a failed watch is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The time for which calls to a relay must have failed before another router is chosen.
const RELAY_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// A kind of cached objects. It determines how changes are applied.
#[derive(Debug, Clone, Copy)]
pub enum Feed {
    /// Objects of the configuration.
    Config,
    /// Blocks of assignments.
    Assignments,
    /// Registrations of routers.
    Members,
}

impl Feed {
    fn cache(self, cx: &Context) -> &ObjectCache {
        match self {
            Self::Config => &cx.caches.config,
            Self::Assignments => &cx.caches.assignments,
            Self::Members => &cx.caches.members,
        }
    }

    /// Watches for changes and applies them until the process ends.
    pub async fn run(self, cx: Arc<Context>, home: Arc<Home>) {
        loop {
            if let Some(changes) = self.next(&cx).await {
                let updated = self.cache(&cx).apply(changes);
                self.apply(&cx, &home, updated).await;
            } else {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Waits for the next changes from the relay, or from the store if this router is the relay or
    /// none is known.
    async fn next(self, cx: &Context) -> Option<Changes> {
        let cache = self.cache(cx);
        match relay_router(cx) {
            Some(relay) if relay != cx.settings.router => from_relay(cx, &relay, cache).await,
            _ => match from_store(cx, cache).await {
                None if cache.revision() == Revision::default() => from_seeds(cx, cache).await,
                changes => changes,
            },
        }
    }

    async fn apply(self, cx: &Arc<Context>, home: &Home, updated: Vec<Object>) {
        match self {
            Self::Config => apply_config(cx, home, &updated).await,
            Self::Assignments => apply_blocks(cx, home, updated),
            Self::Members => apply_members(cx, updated),
        }
    }
}

/// Returns the router that is the relay of this data centre.
#[must_use]
pub fn relay_router(cx: &Context) -> Option<RouterId> {
    cx.members
        .relay(&cx.settings.data_centre, cx.now(), RELAY_SILENCE_TIMEOUT)
}

async fn from_store(cx: &Context, cache: &ObjectCache) -> Option<Changes> {
    let changes = cx
        .store
        .watch(cache.prefix(), cache.revision(), WATCH_WAIT)
        .await;
    changes
        .inspect_err(|err| log::warn!("could not watch {} at the store: {err}", cache.prefix()))
        .ok()
}

/// Fetches all objects from the first seed router that has any. Only used to fill an empty cache.
/// The result gives no authority: this router does not become a home until it reads the store
/// itself.
async fn from_seeds(cx: &Context, cache: &ObjectCache) -> Option<Changes> {
    for seed in &cx.settings.seeds {
        let changes = watch_at(cx, *seed, cache, Duration::ZERO).await;
        if let Ok(changes) = changes
            && changes.revision > Revision::default()
        {
            log::info!("fetched {} from the router at {seed}", cache.prefix());
            return Some(changes);
        }
    }
    None
}

async fn watch_at(
    cx: &Context,
    address: SocketAddr,
    cache: &ObjectCache,
    wait: Duration,
) -> Result<Changes, tonic::Status> {
    let mut req = tonic::Request::new(wire::WatchRequest {
        stamp: convert::stamp(),
        router: cx.settings.router.to_string(),
        prefix: cache.prefix().to_owned(),
        after: cache.revision().0,
        wait_ms: millis(wait),
    });
    req.set_timeout(wait + WATCH_MARGIN);
    let reply = cx.peers.router(address).watch(req).await?;
    Ok(convert::changes_from_wire(reply.into_inner()))
}

async fn from_relay(cx: &Context, relay: &RouterId, cache: &ObjectCache) -> Option<Changes> {
    let address = cx.members.peer(relay)?;
    let changes = watch_at(cx, address, cache, WATCH_WAIT).await;
    cx.members.record_call(relay, changes.is_ok(), cx.now());
    changes
        .inspect_err(|status| log::warn!("could not watch {} at {relay}: {status}", cache.prefix()))
        .ok()
}

/// Puts a new configuration in force once the cache holds all its parts.
async fn apply_config(cx: &Arc<Context>, home: &Home, updated: &[Object]) {
    if updated.is_empty() {
        return;
    }
    match accept::fetch(&cx.caches.config).await {
        Ok(Some(accepted)) if accepted.generation > cx.generation() => {
            let generation = accepted.generation;
            let deployment = Arc::new(accepted.deployment.at_site(&cx.settings.data_centre));
            cx.deployment.store(Some(Arc::clone(&deployment)));
            home.ownership().configure(cx, &deployment);
            carawayrill_telemetry::emit(EventKind::ConfigInForce { generation });
        }
        Ok(_) => {}
        Err(err) => log::error!("could not load the configuration {CONFIG_HEAD}: {err}"),
    }
}

fn apply_blocks(cx: &Arc<Context>, home: &Home, updated: Vec<Object>) {
    for object in updated {
        if object.version.0 == 0 {
            continue;
        }
        match serde_json::from_slice::<Block>(&object.value) {
            Ok(block) => apply_block(cx, home, &object, block),
            Err(err) => log::error!("could not parse block {}: {err}", object.name),
        }
    }
}

fn apply_block(cx: &Arc<Context>, home: &Home, object: &Object, block: Block) {
    let id = block.id.clone();
    let updated = cx.routes_mut().apply(object.version, block.clone());
    home.ownership().hint(cx, object.version, block);
    if updated {
        carawayrill_telemetry::emit(EventKind::BlockSeen {
            block: id,
            version: object.version,
        });
    }
}

fn apply_members(cx: &Context, updated: Vec<Object>) {
    for object in updated {
        if object.version.0 == 0 {
            let name = object.name.strip_prefix(MEMBERS).unwrap_or_default();
            if let Ok(router) = RouterId::try_from(name) {
                cx.members.remove(&router);
            }
            continue;
        }
        match serde_json::from_slice::<Member>(&object.value) {
            Ok(member) => cx.members.put(member),
            Err(err) => log::error!("could not parse member {}: {err}", object.name),
        }
    }
}
