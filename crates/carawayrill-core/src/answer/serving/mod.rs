//! The state machine of requests at their home, from receipt to the final answer.
//!
//! [`ServingState`] combines the tables of the sibling modules: it claims the idempotency key, has
//! the claim mirrored, queues the request, assigns a slot and matches the answer. Events are passed
//! in as method calls; decisions are returned as [`Action`]s that the router executes. Each request
//! that [`ServingState::accept`] accepts gets exactly one [`Action::Reply`]. For any other request,
//! the error of `accept` is its final answer.

mod ending;
mod types;

use std::collections::BTreeMap;

use crate::answer::claims::ClaimError;
use crate::answer::claims::ClaimKey;
use crate::answer::claims::ClaimTable;
use crate::answer::fair::QueuedRequest;
use crate::answer::inflight::InFlightTable;
use crate::answer::mirror::MirrorRequirement;
use crate::answer::mirror::MirrorTable;
use crate::answer::queue::QueueAction;
use crate::answer::queue::ServerQueue;
use crate::answer::refusal::Refusal;
use crate::answer::refusal::RefusalReason;
use crate::answer::reply::Reply;
pub use crate::answer::serving::ending::SendFailure;
use crate::answer::serving::types::AbandonedRequest;
pub use crate::answer::serving::types::Action;
use crate::answer::serving::types::CLAIM_SCAN_PER_TICK;
pub use crate::answer::serving::types::ClaimRequest;
pub use crate::answer::serving::types::IncomingRequest;
use crate::answer::serving::types::Phase;
use crate::answer::serving::types::Row;
pub use crate::answer::serving::types::ServingConfig;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::time::Time;

/// The requests, queues and claims of one home.
#[derive(Debug, Clone)]
pub struct ServingState {
    cfg: ServingConfig,
    rows: BTreeMap<RequestId, Row>,
    abandoned: BTreeMap<RequestId, AbandonedRequest>,
    inflight: InFlightTable,
    queues: BTreeMap<ServerId, ServerQueue>,
    /// Claims of the shards of this home, and copies held for other homes.
    pub claims: ClaimTable,
    /// Standby homes of the shards of this home.
    pub mirror: MirrorTable,
    /// The last known owner of each shard.
    owners: BTreeMap<ShardId, ServerId>,
    stopping: bool,
}

impl ServingState {
    /// Creates the state of a home without servers.
    #[must_use]
    pub fn new(cfg: ServingConfig, claims: ClaimTable) -> Self {
        Self {
            cfg,
            rows: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            inflight: InFlightTable::new(cfg.in_flight),
            queues: BTreeMap::new(),
            claims,
            mirror: MirrorTable::default(),
            owners: BTreeMap::new(),
            stopping: false,
        }
    }

    /// Adds a server with its queue. Has no effect if the server is present.
    pub fn add_server(&mut self, server: &ServerId, queue: ServerQueue) {
        self.queues.entry(server.clone()).or_insert(queue);
    }

    /// Removes a server whose home this router no longer is. Requests that run there continue, and
    /// their answers are matched as before.
    pub fn remove_server(&mut self, server: &ServerId) -> Vec<Action> {
        let Some(mut queue) = self.queues.remove(server) else {
            return Vec::new();
        };
        let queue_actions = queue.drain();
        self.apply_queue_actions(server, queue_actions)
    }

    /// Returns the queue of a server.
    #[must_use]
    pub fn queue(&self, server: &ServerId) -> Option<&ServerQueue> {
        self.queues.get(server)
    }

    /// Returns the queue of a server for load reports, restarts and control calls.
    pub fn queue_mut(&mut self, server: &ServerId) -> Option<&mut ServerQueue> {
        self.queues.get_mut(server)
    }

    /// Returns the number of requests that wait for a slot of any server.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.queues.values().map(ServerQueue::waiting).sum()
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn inflight(&self) -> &InFlightTable {
        &self.inflight
    }

    /// Accepts a request.
    ///
    /// # Errors
    ///
    /// Fails with the final answer if the request is not accepted.
    pub fn accept(&mut self, now: Time, incoming: IncomingRequest) -> Result<Vec<Action>, Reply> {
        if self.stopping {
            return Err(Reply::Refused(RefusalReason::Draining.into()));
        }
        self.check_admission_limits(now, &incoming)
            .map_err(Reply::Refused)?;
        let request = incoming.request;
        self.inflight
            .open(now, &request, incoming.deadline)
            .map_err(Reply::Refused)?;
        let key = match self.claim(now, incoming.claim) {
            Ok(key) => key,
            Err(reply) => {
                self.inflight.close(&request);
                return Err(reply);
            }
        };
        let requirement = match &key {
            Some(_) => self.mirror.requirement(&incoming.shard),
            None => MirrorRequirement::Nothing,
        };
        let row = Row {
            shard: incoming.shard,
            caller: incoming.caller,
            deadline: incoming.deadline,
            server: incoming.server,
            claim: key.clone(),
            phase: Phase::Mirroring,
        };
        let mut actions = self.set_owner(now, &row.shard, &row.server);
        self.rows.insert(request.clone(), row);
        match (requirement, key) {
            (MirrorRequirement::Acknowledgement(standby), Some(key)) => {
                actions.push(Action::Mirror(request, standby, key));
            }
            _ => actions.extend(self.enqueue(now, &request)),
        }
        Ok(actions)
    }

    /// Checks all limits that would refuse the request, before a claim is made for it.
    fn check_admission_limits(&self, now: Time, incoming: &IncomingRequest) -> Result<(), Refusal> {
        let queue = self
            .queues
            .get(&incoming.server)
            .ok_or_else(|| Refusal::from(RefusalReason::ServerLost))?;
        self.check_total_queue(queue)?;
        let waiting = QueuedRequest {
            request: incoming.request.clone(),
            caller: incoming.caller.clone(),
            deadline: incoming.deadline,
        };
        queue.check_admission(now, &waiting)
    }

    /// Checks the total length of all queues. When the total is at its limit, only servers whose
    /// queue is shorter than an equal share may queue more, so that no server uses the space of the
    /// others.
    fn check_total_queue(&self, queue: &ServerQueue) -> Result<(), Refusal> {
        let total = self.waiting();
        let servers = u32::try_from(self.queues.len()).unwrap_or(u32::MAX);
        let fair_share = self.cfg.waiting / servers.max(1);
        if total >= self.cfg.waiting && queue.waiting() >= fair_share {
            return Err(RefusalReason::QueueFull.into());
        }
        Ok(())
    }

    fn claim(&mut self, now: Time, claim: Option<ClaimRequest>) -> Result<Option<ClaimKey>, Reply> {
        let Some(claim) = claim else {
            return Ok(None);
        };
        self.claims
            .claim(now, &claim.key, claim.fingerprint, claim.window)
            .map_err(|err| match err {
                ClaimError::AlreadyAnswered(answer) => Reply::Answer(answer),
                ClaimError::Refused(refusal) => Reply::Refused(refusal),
            })?;
        Ok(Some(claim.key))
    }

    /// Records whether the standby home has acknowledged the claim of a request.
    pub fn mirror_result(&mut self, now: Time, request: &RequestId, kept: bool) -> Vec<Action> {
        let mirroring = |row: &Row| row.phase == Phase::Mirroring;
        if !self.rows.get(request).is_some_and(mirroring) {
            return Vec::new();
        }
        if kept {
            self.enqueue(now, request)
        } else {
            self.refuse(request, RefusalReason::ClaimNotMirrored.into())
        }
    }

    /// Adds a request to the queue of its server.
    fn enqueue(&mut self, now: Time, request: &RequestId) -> Vec<Action> {
        let Some(row) = self.rows.get_mut(request) else {
            return Vec::new();
        };
        let server = row.server.clone();
        row.phase = Phase::Queued;
        let waiting = QueuedRequest {
            request: request.clone(),
            caller: row.caller.clone(),
            deadline: row.deadline,
        };
        let offered = match self.queues.get_mut(&server) {
            Some(queue) => queue.offer(now, waiting),
            None => Err(RefusalReason::ServerLost.into()),
        };
        match offered {
            Ok(queue_actions) => self.apply_queue_actions(&server, queue_actions),
            Err(refusal) => self.refuse(request, refusal),
        }
    }

    fn apply_queue_actions(
        &mut self,
        server: &ServerId,
        queue_actions: Vec<QueueAction>,
    ) -> Vec<Action> {
        let mut actions = Vec::with_capacity(queue_actions.len());
        for decision in queue_actions {
            match decision {
                QueueAction::Send(request) => {
                    if let Some(row) = self.rows.get_mut(&request) {
                        row.phase = Phase::HasSlot;
                    }
                    actions.push(Action::Send(request, server.clone()));
                }
                QueueAction::Refuse(request, refusal) => {
                    actions.extend(self.refuse(&request, refusal));
                }
            }
        }
        actions
    }

    /// Moves the requests of a shard that have no slot to the queue of its new owner. Requests that
    /// have a slot stay where they are.
    fn move_unsent(&mut self, now: Time, shard: &ShardId, to: &ServerId) -> Vec<Action> {
        let to_move =
            |row: &Row| row.shard == *shard && row.phase != Phase::HasSlot && row.server != *to;
        let mut actions = Vec::new();
        for request in self.find_requests(to_move) {
            self.remove_from_queue(&request);
            let Some(row) = self.rows.get_mut(&request) else {
                continue;
            };
            row.server = to.clone();
            if row.phase == Phase::Queued {
                actions.extend(self.enqueue(now, &request));
            }
        }
        actions
    }

    /// Records the owner of a shard, and moves requests that wait for a former owner.
    fn set_owner(&mut self, now: Time, shard: &ShardId, owner: &ServerId) -> Vec<Action> {
        let former = self.owners.insert(shard.clone(), owner.clone());
        if former.is_none_or(|former| former == *owner) {
            return Vec::new();
        }
        self.move_unsent(now, shard, owner)
    }

    /// Removes the owner of a shard whose home this router no longer is.
    pub fn remove_owner(&mut self, shard: &ShardId) {
        self.owners.remove(shard);
    }

    /// Refuses the requests of a shard that have no slot, because this router may no longer send
    /// them.
    pub fn refuse_shard(&mut self, shard: &ShardId, reason: RefusalReason) -> Vec<Action> {
        self.remove_owner(shard);
        let held = |row: &Row| row.shard == *shard && row.phase != Phase::HasSlot;
        let requests = self.find_requests(held);
        let refused = requests
            .iter()
            .map(|request| self.refuse(request, reason.into()));
        refused.collect::<Vec<_>>().concat()
    }

    /// Processes deadlines, queues and expired claims. Must be called on each tick.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.expire_requests(now);
        let servers: Vec<_> = self.queues.keys().cloned().collect();
        for server in servers {
            if let Some(queue) = self.queues.get_mut(&server) {
                let queue_actions = queue.tick(now);
                actions.extend(self.apply_queue_actions(&server, queue_actions));
            }
        }
        actions.extend(self.expire_abandoned(now));
        self.claims.expire(now, CLAIM_SCAN_PER_TICK);
        actions
    }

    /// Starts a planned shutdown: new requests are refused, requests in flight continue.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    fn find_requests(&self, filter: impl Fn(&Row) -> bool) -> Vec<RequestId> {
        let rows = self.rows.iter().filter(|(_, row)| filter(row));
        rows.map(|(request, _)| request.clone()).collect()
    }

    /// Removes a request from its queue but keeps its row.
    fn remove_from_queue(&mut self, request: &RequestId) {
        let Some(row) = self.rows.get(request) else {
            return;
        };
        if row.phase != Phase::Queued {
            return;
        }
        if let Some(queue) = self.queues.get_mut(&row.server) {
            queue.remove(request);
        }
    }
}
