//! Copies of claims: sent to standby homes, kept for other homes, handed over at a planned move.
//!
//! One task a standby home sends its messages one after the other, so that a copy never overtakes
//! an earlier one. Claims that come up while a message is on its way go together in the next one.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::answer::claims::Claim;
use carawayrill_core::answer::claims::ClaimKey;
use carawayrill_core::answer::claims::Lineage;
use carawayrill_core::answer::mirror::PendingCopy;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ShardId;
use carawayrill_proto::wire;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::home::serve::convert;
use crate::home::serve::desk::Desk;
use crate::peer::convert::stamp;

/// The time limit of one message.
const MIRROR_TIMEOUT: Duration = Duration::from_millis(300);
/// Claims that go in one message.
const BATCH: usize = 256;
/// Shards whose copies are made in one go.
const SYNC_BATCH: usize = 64;

/// Something to send to a standby home.
#[derive(Debug)]
enum Item {
    /// The present state of a claim, for which a request may wait.
    Claim(ClaimKey, Option<RequestId>),
    /// Copies that are not complete.
    Sync,
    /// All claims of a shard that is about to have the receiver as its home.
    HandOver(ShardId, Lineage, oneshot::Sender<bool>),
}

/// The tasks that send to standby homes.
#[derive(Debug, Default)]
pub(super) struct Mirrors {
    links: Mutex<HashMap<RouterId, mpsc::UnboundedSender<Item>>>,
}

/// The number of a message and where it goes.
struct Link {
    standby: RouterId,
    sequence: u64,
}

impl Desk {
    /// Has the present state of a claim copied.
    pub(super) fn mirror(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        standby: RouterId,
        key: ClaimKey,
        request: Option<RequestId>,
    ) {
        self.put(cx, standby, Item::Claim(key, request));
    }

    /// Has the copies made that are not complete.
    pub(super) fn sync(self: &Arc<Self>, cx: &Arc<Context>, standby: RouterId) {
        self.put(cx, standby, Item::Sync);
    }

    fn put(self: &Arc<Self>, cx: &Arc<Context>, standby: RouterId, item: Item) {
        let mut links = self
            .mirrors
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let tx = links.entry(standby).or_insert_with_key(|standby| {
            let (tx, rx) = mpsc::unbounded_channel();
            let link = Link {
                standby: standby.clone(),
                sequence: 0,
            };
            let (desk, cx) = (Arc::clone(self), Arc::clone(cx));
            tokio::spawn(async move { desk.run_link(&cx, link, rx).await });
            tx
        });
        // The task only ends with the process.
        let _ending = tx.send(item);
    }

    async fn run_link(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        mut link: Link,
        mut rx: mpsc::UnboundedReceiver<Item>,
    ) {
        let mut items = Vec::with_capacity(BATCH);
        while rx.recv_many(&mut items, BATCH).await > 0 {
            let mut claims = Vec::with_capacity(items.len());
            let mut syncs = false;
            for item in items.drain(..) {
                match item {
                    Item::Claim(key, request) => claims.push((key, request)),
                    Item::Sync => syncs = true,
                    Item::HandOver(shard, lineage, done) => {
                        let kept = self.send_whole(cx, &mut link, &shard, lineage).await;
                        // Who waits for it may have given up.
                        let _gone = done.send(kept);
                    }
                }
            }
            if !claims.is_empty() {
                self.send_claims(cx, &mut link, claims).await;
            }
            if syncs {
                self.send_copies(cx, &mut link).await;
            }
        }
    }

    async fn send_claims(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        link: &mut Link,
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
                let run = Incarnation(reply.incarnation);
                state.serving.mirror.observe_standby(&link.standby, run);
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

    async fn send_copies(self: &Arc<Self>, cx: &Arc<Context>, link: &mut Link) {
        let copies = self
            .lock()
            .serving
            .mirror
            .pending_copies(&link.standby, SYNC_BATCH);
        for copy in copies {
            let Some(claims) = self.begin_copy(cx, &copy) else {
                continue;
            };
            let whole = whole_shard(&copy.shard, copy.lineage);
            let Some(reply) = call(cx, link, claims, vec![whole]).await else {
                return;
            };
            if reply.kept {
                let run = Incarnation(reply.incarnation);
                self.lock().serving.mirror.mark_complete(&copy, run);
            }
        }
    }

    /// Takes out all claims of a shard, at the moment from which each fresh one waits for its
    /// copy.
    fn begin_copy(&self, cx: &Context, copy: &PendingCopy) -> Option<Vec<wire::Claim>> {
        let mut state = self.lock();
        if !state.serving.mirror.mark_maybe_complete(copy) {
            return None;
        }
        Some(claims_of(
            state.serving.claims.export(cx.now(), &copy.shard),
        ))
    }

    /// Hands the claims of a shard over to the router that is about to become its home, under the
    /// assignment with this lineage. To be called when this router has stopped to send for the
    /// shard.
    pub(super) async fn hand_over(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        shard: &ShardId,
        to: &RouterId,
        lineage: Lineage,
    ) {
        let (done, kept) = oneshot::channel();
        self.put(cx, to.clone(), Item::HandOver(shard.clone(), lineage, done));
        let kept = tokio::time::timeout(MIRROR_TIMEOUT, kept).await;
        if !matches!(kept, Ok(Ok(true))) {
            log::warn!("claims of {shard} not handed over to {to}");
        }
    }

    async fn send_whole(
        &self,
        cx: &Context,
        link: &mut Link,
        shard: &ShardId,
        lineage: Lineage,
    ) -> bool {
        let claims = claims_of(self.lock().serving.claims.export(cx.now(), shard));
        let reply = call(cx, link, claims, vec![whole_shard(shard, lineage)]).await;
        reply.is_some_and(|reply| reply.kept)
    }

    /// Keeps copies of another home's claims.
    pub(super) fn keep_copies(
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
        let run = Incarnation(message.incarnation);
        let mut kept = self.begin_copies(&mut state, cx, &message.whole, (&from, run));
        for claim in message.claims {
            let kept_one = state.keep_copy(cx, claim, (&from, run));
            reply.kept_each.push(kept_one);
            kept &= kept_one;
        }
        reply.kept = kept && state.complete_copies(&message.whole, (&from, run));
        reply
    }

    fn begin_copies(
        &self,
        state: &mut super::desk::State,
        cx: &Context,
        whole: &[wire::WholeShard],
        (from, run): (&RouterId, Incarnation),
    ) -> bool {
        whole.iter().all(|copy| {
            let Ok(shard) = copy.shard.parse() else {
                return false;
            };
            let way = super::claims::make_way(state, cx, &*self.authority, &shard);
            if way {
                state.serving.claims.begin_copy(&shard, from, run);
            }
            way
        })
    }
}

impl super::desk::State {
    /// Returns whether a message did not come after a later one of the same home.
    fn is_in_order(&mut self, from: &RouterId, message: &wire::MirrorRequest) -> bool {
        let place = (message.incarnation, message.sequence);
        let last = self.heard.get(from).copied().unwrap_or_default();
        let in_order = place > last;
        if in_order {
            self.heard.insert(from.clone(), place);
        }
        in_order
    }

    fn keep_copy(
        &mut self,
        cx: &Context,
        claim: wire::Claim,
        (from, run): (&RouterId, Incarnation),
    ) -> bool {
        match convert::claim_from_wire(claim) {
            Ok((_, Some(claim))) => {
                let claims = &mut self.serving.claims;
                claims.keep_copy(cx.now(), claim, from, run)
            }
            Ok((key, None)) => {
                self.serving.claims.drop_copy(&key, from, run);
                true
            }
            Err(err) => {
                log::error!("claim of {from}: {err}");
                false
            }
        }
    }

    fn complete_copies(
        &mut self,
        whole: &[wire::WholeShard],
        (from, run): (&RouterId, Incarnation),
    ) -> bool {
        whole.iter().all(|copy| {
            let lineage = Lineage(copy.lineage);
            let shard = copy.shard.parse::<ShardId>();
            shard.is_ok_and(|shard| {
                let claims = &mut self.serving.claims;
                claims.complete_copy(&shard, from, run, lineage)
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

fn whole_shard(shard: &ShardId, lineage: Lineage) -> wire::WholeShard {
    wire::WholeShard {
        shard: shard.to_string(),
        lineage: lineage.0,
    }
}

async fn call(
    cx: &Context,
    link: &mut Link,
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
    let reply = reply.inspect_err(|status| log::debug!("claims to {}: {status}", link.standby));
    Some(reply.ok()?.into_inner())
}
