//! Performs the I/O of the ownership table's actions.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::Version;
use carawayrill_core::object::block_name;
use carawayrill_core::order::Order;
use carawayrill_core::ownership::evidence::AssignmentRef;
use carawayrill_core::ownership::home::Action;
use carawayrill_core::ownership::home::BlockVersion;
use carawayrill_core::ownership::home::Input;
use carawayrill_core::time::Time;
use carawayrill_proto::wire;
use compact_str::CompactString;

use crate::context::Context;
use crate::feed;
use crate::home::ownership::OwnershipDriver;
use crate::peer::authority;
use crate::peer::convert;

/// The timeout of one message with orders to a server.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout of one query to another router.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout of one probe of another router.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl OwnershipDriver {
    /// Performs one action and applies its result to the table.
    pub(crate) async fn perform(self: &Arc<Self>, cx: &Arc<Context>, action: Action) {
        let input = match action {
            Action::Order { server, orders } => Some(self.order(cx, server, orders).await),
            Action::ReadBlock { block } => read_block(cx, &block).await,
            Action::CheckVersions { blocks } => self.check_versions(cx, blocks).await,
            Action::WriteBlock { expected, block } => Some(write_block(cx, expected, block).await),
            Action::AskStandby { router, rows } => query_standby(cx, router, rows).await,
            Action::Quiesce { shard } => {
                self.in_flight.wait_until_idle(&shard).await;
                Some(Input::Quiesced { shard })
            }
            Action::Emit { .. } | Action::AnswerRelease { .. } | Action::AnswerStandby { .. } => {
                None
            }
        };
        if let Some(input) = input {
            self.input(cx, input);
        }
    }

    async fn order(&self, cx: &Context, server: ServerId, orders: Vec<Order>) -> Input {
        let sent = cx.now();
        let deployment = cx.deployment.load_full();
        let address =
            deployment.and_then(|deployment| deployment.server(&server).map(|row| row.address));
        let Some(address) = address else {
            return Input::OrderFailed { server, sent };
        };
        match self
            .servers
            .order(address, orders.clone(), ORDER_TIMEOUT)
            .await
        {
            Ok(reply) if reply.server == server => {
                self.record_server_report(cx.now(), &reply);
                Input::OrderReply {
                    sent,
                    orders,
                    reply,
                }
            }
            Ok(reply) => {
                log::error!(
                    "expected server {server} at {address}, but {} replied",
                    reply.server
                );
                Input::OrderFailed { server, sent }
            }
            Err(err) => {
                log::debug!("could not send orders to {server}: {err}");
                Input::OrderFailed { server, sent }
            }
        }
    }

    /// Reads the versions of blocks through the relay of this data centre, or from the store if this
    /// router is the relay or none is known.
    async fn check_versions(&self, cx: &Context, blocks: Vec<BlockId>) -> Option<Input> {
        let names: Vec<_> = blocks.iter().map(block_name).collect();
        let asked = cx.now();
        let (started, found) = match feed::relay_router(cx) {
            Some(relay) if relay != cx.settings.router => {
                check_at_relay(cx, &relay, &names, asked).await?
            }
            _ => self.check_at_store(cx, &names).await?,
        };
        let versions = blocks
            .into_iter()
            .zip(found)
            .map(|(block, version)| BlockVersion { block, version })
            .collect();
        Some(Input::Versions { started, versions })
    }

    async fn check_at_store(
        &self,
        cx: &Context,
        names: &[CompactString],
    ) -> Option<(Time, Vec<Version>)> {
        let seen = |name: &str| cx.caches.assignments.known_version(name);
        let read = self.versions.check(names, seen).await;
        let read = read
            .inspect_err(|err| log::debug!("could not check versions at the store: {err}"))
            .ok()?;
        Some((read.started, read.versions))
    }

    /// Probes the homes whose standby home this router is, until the process ends.
    pub async fn probe_homes(self: Arc<Self>, cx: Arc<Context>) {
        loop {
            tokio::time::sleep(cx.heartbeat_every()).await;
            for home in self.probed_homes() {
                let (ownership, cx) = (Arc::clone(&self), Arc::clone(&cx));
                tokio::spawn(async move { ownership.probe(&cx, home).await });
            }
        }
    }

    async fn probe(self: &Arc<Self>, cx: &Arc<Context>, home: RouterId) {
        let Some(address) = cx.members.peer(&home) else {
            return;
        };
        let mut req = tonic::Request::new(wire::HeartbeatRequest {
            stamp: convert::stamp(),
            router: cx.settings.router.to_string(),
            incarnation: cx.incarnation.0,
            generation: cx.generation().0,
            ..wire::HeartbeatRequest::default()
        });
        req.set_timeout(PROBE_TIMEOUT);
        let Ok(reply) = cx.peers.router(address).heartbeat(req).await else {
            return;
        };
        let reply = reply.into_inner();
        convert::observe(reply.stamp);
        let incarnation = carawayrill_core::id::Incarnation(reply.incarnation);
        self.input(
            cx,
            Input::PeerSeen {
                router: home,
                incarnation,
            },
        );
    }
}

async fn check_at_relay(
    cx: &Context,
    relay: &RouterId,
    names: &[CompactString],
    asked: Time,
) -> Option<(Time, Vec<Version>)> {
    let address = cx.members.peer(relay)?;
    let mut req = tonic::Request::new(wire::CheckVersionsRequest {
        stamp: convert::stamp(),
        router: cx.settings.router.to_string(),
        names: names.iter().map(ToString::to_string).collect(),
    });
    req.set_timeout(QUERY_TIMEOUT);
    let reply = cx.peers.router(address).check_versions(req).await;
    let reply = reply
        .inspect_err(|status| log::debug!("could not check versions at relay {relay}: {status}"))
        .ok()?;
    let reply = reply.into_inner();
    convert::observe(reply.stamp);
    if reply.versions.len() != names.len() {
        return None;
    }
    // The relay's read began at most `age_ms` before it replied, and it replied after `asked`. So
    // the read began no earlier than `asked` minus that age.
    let started = asked - Duration::from_millis(reply.age_ms);
    Some((
        started,
        reply
            .versions
            .iter()
            .map(|row| Version(row.version))
            .collect(),
    ))
}

async fn read_block(cx: &Context, id: &BlockId) -> Option<Input> {
    let started = cx.now();
    let object = cx.store.get(&block_name(id)).await;
    let object = object
        .inspect_err(|err| log::debug!("could not read block {id}: {err}"))
        .ok()?;
    let Some(object) = object else {
        let block = Block::empty(id.clone());
        return Some(Input::Block {
            started,
            version: Version::default(),
            block,
        });
    };
    match serde_json::from_slice::<Block>(&object.value) {
        Ok(block) => {
            // The routing table must be at least as new as the block that this home acts on.
            // Otherwise a hot key that was split out would still count as part of its range.
            cx.routes_mut().apply(object.version, block.clone());
            Some(Input::Block {
                started,
                version: object.version,
                block,
            })
        }
        Err(err) => {
            log::error!("could not parse block {id}: {err}");
            None
        }
    }
}

async fn write_block(cx: &Context, expected: Version, block: Block) -> Input {
    let id = block.id.clone();
    let Ok(value) = serde_json::to_vec(&block) else {
        return Input::WriteFailed { block: id };
    };
    match cx
        .store
        .put(&block_name(&id), Bytes::from(value), expected)
        .await
    {
        Ok(version) => Input::Written { block: id, version },
        Err(err) => {
            log::debug!("could not write block {id}: {err}");
            Input::WriteFailed { block: id }
        }
    }
}

async fn query_standby(cx: &Context, router: RouterId, rows: Vec<AssignmentRef>) -> Option<Input> {
    let asked = cx.now();
    let address = cx.members.peer(&router)?;
    let mut req = tonic::Request::new(authority::standby_query(cx, &rows));
    req.set_timeout(QUERY_TIMEOUT);
    let reply = cx.peers.router(address).promise(req).await;
    let reply = reply
        .inspect_err(|status| log::debug!("could not query standby home {router}: {status}"))
        .ok()?;
    let reply = reply.into_inner();
    convert::observe(reply.stamp);
    let incarnation = carawayrill_core::id::Incarnation(reply.incarnation);
    let rows = authority::standby_statuses_from_wire(reply).ok()?;
    Some(Input::StandbyReply {
        asked,
        router,
        incarnation,
        rows,
    })
}
