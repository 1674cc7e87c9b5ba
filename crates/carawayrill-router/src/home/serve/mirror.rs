//! Replicates claims to standby homes, stores copies for other homes, and hands claims over at a
//! planned move.
//!
//! One task for each standby home sends the messages one after the other, so that a copy never
//! overtakes an earlier one. Claims that arise while a message is in flight are batched into the
//! next one.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::answer::claims::Claim;
use carawayrill_core::answer::claims::ClaimKey;
use carawayrill_core::answer::claims::ClaimTable;
use carawayrill_core::answer::claims::Lineage;
use carawayrill_core::answer::mirror::PendingCopy;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ShardId;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_proto::wire;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::home::serve::convert;
use crate::home::serve::driver::ServingDriver;
use crate::peer::convert::stamp;

/// The timeout of one message, and of a whole handover.
const MIRROR_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum number of queued items that are handled together, and so of claims in one message.
const CLAIM_BATCH: usize = 256;
/// The maximum number of shards that are copied for one sync.
const SYNC_BATCH: usize = 64;

/// An item in the queue of the messages to one router.
#[derive(Debug)]
enum MirrorItem {
    /// The current state of a claim, and the request that waits for the copy, if any.
    Claim(ClaimKey, Option<RequestId>),
    /// All copies that are incomplete.
    Sync,
    /// All claims of a shard whose next home is the receiver.
    HandOver(ShardId, Lineage, oneshot::Sender<bool>),
}

/// The queues of the tasks that send to standby homes.
#[derive(Debug, Default)]
pub(super) struct MirrorLinks {
    links: Mutex<HashMap<RouterId, mpsc::UnboundedSender<MirrorItem>>>,
}

/// The receiver of a task's messages, and the sequence number of the last message.
struct MirrorLink {
    standby: RouterId,
    sequence: u64,
}

impl ServingDriver {
    /// Enqueues a copy of the current state of a claim.
    pub(super) fn mirror(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        standby: RouterId,
        key: ClaimKey,
        request: Option<RequestId>,
    ) {
        self.enqueue(cx, standby, MirrorItem::Claim(key, request));
    }

    /// Enqueues the copies that are incomplete.
    pub(super) fn sync(self: &Arc<Self>, cx: &Arc<Context>, standby: RouterId) {
        self.enqueue(cx, standby, MirrorItem::Sync);
    }

    fn enqueue(self: &Arc<Self>, cx: &Arc<Context>, standby: RouterId, item: MirrorItem) {
        let mut links = self
            .mirrors
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let tx = links.entry(standby).or_insert_with_key(|standby| {
            let (tx, rx) = mpsc::unbounded_channel();
            let link = MirrorLink {
                standby: standby.clone(),
                sequence: 0,
            };
            let (serving, cx) = (Arc::clone(self), Arc::clone(cx));
            tokio::spawn(async move { serving.run_link(&cx, link, rx).await });
            tx
        });
        // The task ends only with the process.
        let _task_ended = tx.send(item);
    }

    async fn run_link(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        mut link: MirrorLink,
        mut rx: mpsc::UnboundedReceiver<MirrorItem>,
    ) {
        let mut items = Vec::with_capacity(CLAIM_BATCH);
        while rx.recv_many(&mut items, CLAIM_BATCH).await > 0 {
            let mut claims = Vec::with_capacity(items.len());
            let mut sync_requested = false;
            for item in items.drain(..) {
                match item {
                    MirrorItem::Claim(key, request) => claims.push((key, request)),
                    MirrorItem::Sync => sync_requested = true,
                    MirrorItem::HandOver(shard, lineage, done) => {
                        let kept = self.send_shard(cx, &mut link, &shard, lineage).await;
                        // The receiver is dropped if the handover has timed out.
                        let _receiver_dropped = done.send(kept);
                    }
                }
            }
            if !claims.is_empty() {
                self.send_claims(cx, &mut link, claims).await;
            }
            if sync_requested {
                self.send_copies(cx, &mut link).await;
            }
        }
    }

    async fn send_claims(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        link: &mut MirrorLink,
        claims: Vec<(ClaimKey, Option<RequestId>)>,
    ) {
        let wire = {
            let state = self.lock();
            let claim = |(key, _): &(ClaimKey, Option<RequestId>)| {
                convert::claim_to_wire(key, state.serving.claims.get(cx.now(), key))
            };
            claims.iter().map(claim).collect()
        };
        let reply = call(cx, link, wire, Vec::new()).await;
        let mut actions = Vec::new();
        {
            let mut state = self.lock();
            if let Some(reply) = &reply {
                let incarnation = Incarnation(reply.incarnation);
                state
                    .serving
                    .mirror
                    .observe_standby(&link.standby, incarnation);
            }
            for (at, (_, request)) in claims.into_iter().enumerate() {
                let kept = reply
                    .as_ref()
                    .is_some_and(|reply| reply.kept_each.get(at) == Some(&true));
                if let Some(request) = request {
                    actions.extend(state.serving.mirror_result(cx.now(), &request, kept));
                }
            }
        }
        self.start(cx, actions);
    }

    async fn send_copies(self: &Arc<Self>, cx: &Arc<Context>, link: &mut MirrorLink) {
        let copies = self
            .lock()
            .serving
            .mirror
            .pending_copies(&link.standby, SYNC_BATCH);
        for copy in copies {
            let Some((claims, whole)) = self.begin_copy(cx, &copy) else {
                continue;
            };
            let Some(reply) = call(cx, link, claims, vec![whole]).await else {
                return;
            };
            if reply.kept {
                let incarnation = Incarnation(reply.incarnation);
                self.lock().serving.mirror.mark_complete(&copy, incarnation);
            }
        }
    }

    /// Exports all claims of a shard. From the same moment on, each new claim waits for its own
    /// copy, so that none is missed.
    fn begin_copy(
        &self,
        cx: &Context,
        copy: &PendingCopy,
    ) -> Option<(Vec<wire::Claim>, wire::WholeShard)> {
        let mut state = self.lock();
        if !state.serving.mirror.mark_maybe_complete(copy) {
            return None;
        }
        let claims = &state.serving.claims;
        Some(export_shard(claims, cx.now(), &copy.shard, copy.lineage))
    }

    /// Hands the claims of a shard over to the router that is to become its home, under the
    /// assignment with this lineage. Must be called after this router has stopped sending for the
    /// shard.
    pub(super) async fn hand_over(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        shard: &ShardId,
        to: &RouterId,
        lineage: Lineage,
    ) {
        let (done, kept) = oneshot::channel();
        self.enqueue(
            cx,
            to.clone(),
            MirrorItem::HandOver(shard.clone(), lineage, done),
        );
        let kept = tokio::time::timeout(MIRROR_TIMEOUT, kept).await;
        if !matches!(kept, Ok(Ok(true))) {
            log::warn!("could not hand over claims of {shard} to {to}");
        }
    }

    async fn send_shard(
        &self,
        cx: &Context,
        link: &mut MirrorLink,
        shard: &ShardId,
        lineage: Lineage,
    ) -> bool {
        let (claims, whole) = {
            let state = self.lock();
            export_shard(&state.serving.claims, cx.now(), shard, lineage)
        };
        let reply = call(cx, link, claims, vec![whole]).await;
        reply.is_some_and(|reply| reply.kept)
    }

    /// Stores copies of another home's claims.
    pub(super) fn store_claim_copies(
        &self,
        cx: &Context,
        message: wire::MirrorRequest,
    ) -> wire::MirrorReply {
        let mut reply = wire::MirrorReply {
            kept: false,
            incarnation: cx.incarnation.0,
            kept_each: Vec::new(),
        };
        let Ok(from) = RouterId::try_from(message.from.as_str()) else {
            return reply;
        };
        let mut state = self.lock();
        if !state.is_in_order(&from, &message) {
            return reply;
        }
        let incarnation = Incarnation(message.incarnation);
        let mut kept =
            self.begin_shard_copies(&mut state, cx, &message.whole, (&from, incarnation));
        for claim in message.claims {
            let kept_one = state.keep_copy(cx, claim, (&from, incarnation));
            reply.kept_each.push(kept_one);
            kept &= kept_one;
        }
        let now = cx.now();
        reply.kept = kept && state.complete_copies(now, &message.whole, (&from, incarnation));
        reply
    }

    fn begin_shard_copies(
        &self,
        state: &mut super::driver::State,
        cx: &Context,
        whole: &[wire::WholeShard],
        (from, incarnation): (&RouterId, Incarnation),
    ) -> bool {
        whole.iter().all(|copy| {
            let Ok(shard) = copy.shard.parse() else {
                return false;
            };
            let is_free = super::claims::drop_former_home(state, cx, &*self.authority, &shard);
            if is_free {
                state.serving.claims.begin_copy(&shard, from, incarnation);
            }
            is_free
        })
    }
}

impl super::driver::State {
    /// Returns whether no later message of the same home was received before, and records the
    /// position of this one.
    fn is_in_order(&mut self, from: &RouterId, message: &wire::MirrorRequest) -> bool {
        let position = (message.incarnation, message.sequence);
        let last = self.last_messages.get(from).copied().unwrap_or_default();
        let in_order = position > last;
        if in_order {
            self.last_messages.insert(from.clone(), position);
        }
        in_order
    }

    fn keep_copy(
        &mut self,
        cx: &Context,
        claim: wire::Claim,
        (from, incarnation): (&RouterId, Incarnation),
    ) -> bool {
        match convert::claim_from_wire(claim) {
            Ok((_, Some(claim))) => {
                let claims = &mut self.serving.claims;
                claims.keep_copy(cx.now(), claim, from, incarnation)
            }
            Ok((key, None)) => {
                self.serving.claims.drop_copy(&key, from, incarnation);
                true
            }
            Err(err) => {
                log::error!("could not parse a claim of {from}: {err}");
                false
            }
        }
    }

    fn complete_copies(
        &mut self,
        now: Time,
        whole: &[wire::WholeShard],
        (from, incarnation): (&RouterId, Incarnation),
    ) -> bool {
        whole.iter().all(|copy| {
            let lineage = Lineage(copy.lineage);
            let missing_until = now + Duration::from_millis(copy.missing_ms);
            let shard = copy.shard.parse::<ShardId>();
            shard.is_ok_and(|shard| {
                let claims = &mut self.serving.claims;
                claims.complete_copy(&shard, from, incarnation, lineage, missing_until)
            })
        })
    }
}

fn claims_of(claims: Vec<Claim>) -> Vec<wire::Claim> {
    let wire = |claim: Claim| {
        let key = claim.key.clone();
        convert::claim_to_wire(&key, Some(claim))
    };
    claims.into_iter().map(wire).collect()
}

/// Returns all claims of a shard, and the statement that these are all that its home has.
fn export_shard(
    claims: &ClaimTable,
    now: Time,
    shard: &ShardId,
    lineage: Lineage,
) -> (Vec<wire::Claim>, wire::WholeShard) {
    let whole = wire::WholeShard {
        shard: shard.to_string(),
        lineage: lineage.0,
        missing_ms: millis(claims.missing_for(now, shard)),
    };
    (claims_of(claims.export(now, shard)), whole)
}

async fn call(
    cx: &Context,
    link: &mut MirrorLink,
    claims: Vec<wire::Claim>,
    whole: Vec<wire::WholeShard>,
) -> Option<wire::MirrorReply> {
    link.sequence += 1;
    let address = cx.members.peer(&link.standby)?;
    let mut call = tonic::Request::new(wire::MirrorRequest {
        stamp: stamp(),
        from: cx.settings.router.to_string(),
        incarnation: cx.incarnation.0,
        claims,
        whole,
        sequence: link.sequence,
    });
    call.set_timeout(MIRROR_TIMEOUT);
    let reply = cx.peers.router(address).mirror(call).await;
    let reply = reply
        .inspect_err(|status| log::debug!("could not send claims to {}: {status}", link.standby));
    Some(reply.ok()?.into_inner())
}
