//! From a request that reached its home to its final answer.

pub mod authority;
mod claims;
mod convert;
pub mod desk;
pub mod exchange;
mod limits;
mod loads;
mod metrics;
mod mirror;
pub mod route;
mod send;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::answer::claims::Lineage;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::id::RegionId;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::ShardId;
use carawayrill_core::object::block_name;
use carawayrill_core::ownership::evidence::ReleaseStatus;
use carawayrill_core::ownership::home::Denial;
use carawayrill_core::route::block_of;
use carawayrill_proto::wire;
use compact_str::CompactString;
use tokio::sync::Semaphore;

use crate::context::Context;
use crate::home::control::Control;
use crate::home::control::OwnServer;
use crate::home::serve::authority::Authority;
use crate::home::serve::desk::Desk;
use crate::home::serve::loads::Loads;
use crate::home::serve::route::Route;
use crate::message::Answer;
use crate::message::Request;

/// How long a request waits here for a move or a failover of its shard.
const MOVE_WAIT: Duration = Duration::from_secs(1);
/// How many requests wait for that at a time.
const MAX_WAITING: usize = 2_000;

/// The home role of one router.
#[derive(Debug)]
pub struct Home {
    control: Arc<Control>,
    desk: Arc<Desk>,
    loads: Loads,
    waiting: Semaphore,
}

impl Home {
    /// Makes the home role; it is the home of nothing until its control says otherwise.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library can't be set up.
    pub fn new(control: Arc<Control>) -> Result<Self, reqwest::Error> {
        let authority = Arc::clone(&control) as Arc<dyn Authority>;
        let desk = Desk::new(authority, Arc::clone(&control.servers))?;
        Ok(Self::with_desk(control, Arc::new(desk)))
    }

    /// Makes the home role with a desk of its own authority.
    #[must_use]
    pub fn with_desk(control: Arc<Control>, desk: Arc<Desk>) -> Self {
        Self {
            control,
            desk,
            loads: Loads::default(),
            waiting: Semaphore::new(MAX_WAITING),
        }
    }

    /// Returns the part that holds authority and grants.
    #[must_use]
    pub fn control(&self) -> &Arc<Control> {
        &self.control
    }

    /// Returns the part that holds requests in flight.
    #[must_use]
    pub fn desk(&self) -> &Arc<Desk> {
        &self.desk
    }

    /// Answers a request whose shard has its home here.
    pub async fn serve(&self, cx: &Arc<Context>, req: Request) -> Answer {
        let route = match self.route(cx, &req).await {
            Ok(route) => route,
            Err(answer) => return *answer,
        };
        self.loads.count(&req.shard, req.key);
        let flight = self.control.flights.begin(&req.shard);
        self.desk.answer(cx, req, route, flight).await
    }

    async fn route(&self, cx: &Context, req: &Request) -> Result<Route, Box<Answer>> {
        if let Some(on_behalf) = req.on_behalf.clone() {
            return Ok(Route::OnBehalf(on_behalf));
        }
        if !is_shard_of_key(cx, req) {
            return Err(Box::new(Answer::from(RefusalReason::Moving)));
        }
        let denial = match self.desk.authority.permit(cx.now(), &req.shard) {
            Ok(permit) => return Ok(Route::Home(permit)),
            Err(denial) => denial,
        };
        let Ok(_place) = self.waiting.try_acquire() else {
            return Err(Box::new(refuse(&denial)));
        };
        let limit = req.deadline.min(cx.now() + MOVE_WAIT);
        let permit = self.control.permit_within(cx, &req.shard, limit).await;
        permit
            .map(Route::Home)
            .map_err(|denial| Box::new(refuse(&denial)))
    }

    /// Stops a request that was forwarded here.
    pub fn cancel(&self, cx: &Arc<Context>, request: &str) {
        if let Ok(request) = RequestId::try_from(request) {
            self.desk.stop_request(cx, &request);
        }
    }

    /// Keeps copies of another home's claims.
    #[must_use]
    pub fn keep_mirror(&self, cx: &Context, claims: wire::MirrorRequest) -> wire::MirrorReply {
        self.desk.keep_copies(cx, claims)
    }

    /// Hands over the claims of shards that this router has released, to the homes that the
    /// intents in the store name. Without an intent the next home has to do without: it refuses
    /// requests that must not run twice for the claim window.
    pub async fn hand_over(&self, cx: &Arc<Context>, released: &[ReleaseStatus]) {
        let shards = released.iter().filter(|row| row.stopped);
        let shards: Vec<_> = shards.map(|row| row.claimed.shard.clone()).collect();
        for next in intents(cx, &shards).await {
            let lineage = Lineage::of(&next);
            if next.home != cx.settings.router {
                let (shard, to) = (&next.shard, &next.home);
                self.desk.hand_over(cx, shard, to, lineage).await;
            }
        }
    }

    /// Tells the controller what is seen of the servers whose home this is.
    #[must_use]
    pub fn servers_seen(&self, cx: &Context) -> Vec<wire::ServerSeen> {
        let seen = |own: OwnServer| {
            let (in_flight, queued) = self.desk.load_of(&own.server);
            wire::ServerSeen {
                server: own.server.to_string(),
                incarnation: own.incarnation.0,
                lost: own.lost,
                draining: own.draining,
                in_flight,
                queued,
            }
        };
        self.control.own_servers(cx).into_iter().map(seen).collect()
    }

    /// Counts bytes of a request or an answer on their way between two regions. Returns the bytes
    /// that crossed.
    pub fn count_bytes(&self, shard: &ShardId, from: &RegionId, to: &RegionId, bytes: u64) -> u64 {
        self.loads.count_bytes(shard, from, to, bytes)
    }

    /// Takes out the loads since the last heartbeat.
    #[must_use]
    pub fn take_loads(&self, cx: &Context) -> Vec<wire::ShardLoad> {
        metrics::report_crossings(cx, &self.loads.crossings());
        self.loads.take()
    }
}

/// Tells whether the entry and this router agree on the shard of a request's key. While they don't,
/// a hot key is being split out of its range or merged back; sent under the other shard, its
/// request could run beside one at another owner.
fn is_shard_of_key(cx: &Context, req: &Request) -> bool {
    let whole = cx.deployment.load();
    let service = whole.as_ref().and_then(|whole| whole.service(&req.service));
    service.is_some_and(|service| {
        cx.routes().shard_of(&service.id, req.key, service.shards) == req.shard
    })
}

/// Returns the assignments to come of `shards`, as the store has them.
async fn intents(cx: &Context, shards: &[ShardId]) -> Vec<Assignment> {
    let mut next = BTreeMap::new();
    for name in block_names(cx, shards) {
        let Ok(Some(object)) = cx.store.get(&name).await else {
            continue;
        };
        let Ok(block) = serde_json::from_slice::<Block>(&object.value) else {
            continue;
        };
        for shard in shards {
            if let Some(intent) = block.intent(shard) {
                next.insert(shard.clone(), intent.next.clone());
            }
        }
    }
    next.into_values().collect()
}

/// Returns the names of the blocks that hold `shards`.
fn block_names(cx: &Context, shards: &[ShardId]) -> BTreeSet<CompactString> {
    let Some(whole) = cx.deployment.load_full() else {
        return BTreeSet::new();
    };
    let name = |shard: &ShardId| {
        let service = whole.service(&shard.service)?;
        let block = block_of(shard, service.shards, service.shards_per_block);
        Some(block_name(&block))
    };
    shards.iter().filter_map(name).collect()
}

/// Returns the reason that a caller is told for a denial.
pub(crate) fn reason_of(denial: &Denial) -> RefusalReason {
    match denial {
        Denial::NotHome { .. } => RefusalReason::NotHome,
        Denial::NoAuthority => RefusalReason::NoAuthority,
        Denial::NoGrant => RefusalReason::NoGrant,
        Denial::Moving | Denial::Changed => RefusalReason::Moving,
    }
}

/// Tells the entry router why its request was not sent.
fn refuse(denial: &Denial) -> Answer {
    let mut answer = Answer::from(reason_of(denial));
    if let Denial::NotHome { home } = denial {
        answer.home_hint.clone_from(home);
    }
    answer
}
