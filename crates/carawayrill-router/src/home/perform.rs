//! Performs the actions of the ownership table.

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
use crate::home::control::Control;
use crate::peer::authority;
use crate::peer::convert;

/// The time limit of one message of orders.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit of one question to another router.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before a router that could not be asked is asked again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl Control {
    /// Performs one action and puts its result into the table.
    pub(crate) async fn perform(self: &Arc<Self>, cx: &Arc<Context>, action: Action) {
        let input = match action {
            Action::Order { server, orders } => Some(self.order(cx, server, orders).await),
            Action::ReadBlock { block } => read_block(cx, &block).await,
            Action::CheckVersions { blocks } => self.check_versions(cx, blocks).await,
            Action::WriteBlock { expected, block } => Some(write_block(cx, expected, block).await),
            Action::AskStandby { router, rows } => ask_standby(cx, router, rows).await,
            Action::Quiesce { shard } => {
                self.flights.wait_for_none(&shard).await;
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
        let whole = cx.deployment.load_full();
        let address = whole.and_then(|whole| whole.server(&server).map(|row| row.address));
        let Some(address) = address else {
            return Input::OrderFailed { server, sent };
        };
        match self
            .servers
            .order(address, orders.clone(), ORDER_TIMEOUT)
            .await
        {
            Ok(reply) if reply.server == server => {
                self.note_run(cx.now(), &reply);
                Input::OrderReply {
                    sent,
                    orders,
                    reply,
                }
            }
            Ok(reply) => {
                log::error!("{server} at {address} answers as {}", reply.server);
                Input::OrderFailed { server, sent }
            }
            Err(err) => {
                log::debug!("orders to {server}: {err}");
                Input::OrderFailed { server, sent }
            }
        }
    }

    /// Checks versions through the relay of this data centre, or directly if this router is it.
    async fn check_versions(&self, cx: &Context, blocks: Vec<BlockId>) -> Option<Input> {
        let names: Vec<_> = blocks.iter().map(block_name).collect();
        let asked = cx.now();
        let (started, found) = match feed::relay_of(cx) {
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
            .inspect_err(|err| log::debug!("version check: {err}"))
            .ok()?;
        Some((read.started, read.versions))
    }

    /// Probes the homes whose standby home this router is, for as long as the process runs.
    pub async fn probe_homes(self: Arc<Self>, cx: Arc<Context>) {
        loop {
            tokio::time::sleep(cx.heartbeat_every()).await;
            for home in self.watched_homes() {
                let (control, cx) = (Arc::clone(&self), Arc::clone(&cx));
                tokio::spawn(async move { control.probe(&cx, home).await });
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
    req.set_timeout(ASK_TIMEOUT);
    let reply = cx.peers.router(address).check_versions(req).await;
    let reply = reply
        .inspect_err(|status| log::debug!("version check at {relay}: {status}"))
        .ok()?;
    let reply = reply.into_inner();
    convert::observe(reply.stamp);
    if reply.versions.len() != names.len() {
        return None;
    }
    // The relay's read began at most `age_ms` before its reply, which came after the question: so
    // it began no earlier than the question less that age.
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
        .inspect_err(|err| log::debug!("reading block {id}: {err}"))
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
            // The routing table is at least as new as what this home acts on, so that a key that
            // was split out is not taken for one of its range.
            cx.routes_mut().apply(object.version, block.clone());
            Some(Input::Block {
                started,
                version: object.version,
                block,
            })
        }
        Err(err) => {
            log::error!("block {id}: {err}");
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
            log::debug!("writing block {id}: {err}");
            Input::WriteFailed { block: id }
        }
    }
}

async fn ask_standby(cx: &Context, router: RouterId, rows: Vec<AssignmentRef>) -> Option<Input> {
    let asked = cx.now();
    let address = cx.members.peer(&router)?;
    let mut req = tonic::Request::new(authority::standby_question(cx, &rows));
    req.set_timeout(ASK_TIMEOUT);
    let reply = cx.peers.router(address).promise(req).await;
    let reply = reply
        .inspect_err(|status| log::debug!("asking {router}: {status}"))
        .ok()?;
    let reply = reply.into_inner();
    convert::observe(reply.stamp);
    let incarnation = carawayrill_core::id::Incarnation(reply.incarnation);
    let rows = authority::standings_from_wire(reply).ok()?;
    Some(Input::StandbyReply {
        asked,
        router,
        incarnation,
        rows,
    })
}
