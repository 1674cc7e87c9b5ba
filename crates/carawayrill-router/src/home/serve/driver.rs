//! Drives [`ServingState`], the state machine of requests at their home, with timers and I/O.
//!
//! Each action runs as its own task and feeds its result back as an input. An exchange with a server
//! therefore continues after its caller has disconnected: the slot stays occupied until the server
//! has finished, and the claim still records the first answer.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::answer::claims::ClaimConfig;
use carawayrill_core::answer::claims::ClaimTable;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::answer::reply::Reply;
use carawayrill_core::answer::serving::Action;
use carawayrill_core::answer::serving::IncomingRequest;
use carawayrill_core::answer::serving::ServingConfig;
use carawayrill_core::answer::serving::ServingState;
use carawayrill_core::id::Generation;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_store::port::ServerControl;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::home::in_flight::InFlightGuard;
use crate::home::serve::authority::Authority;
use crate::home::serve::claims;
use crate::home::serve::convert;
use crate::home::serve::limits;
use crate::home::serve::metrics;
use crate::home::serve::metrics::ReportedCounts;
use crate::home::serve::mirror::MirrorLinks;
use crate::home::serve::route::Route;
use crate::message::Answer;
use crate::message::Request;

/// The interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The number of ticks between two refreshes from the assignments.
const REFRESH_TICKS: u32 = 50;

/// Runs the state machine of the requests at one home.
#[derive(Debug)]
pub struct ServingDriver {
    pub(super) authority: Arc<dyn Authority>,
    pub(super) servers: Arc<dyn ServerControl>,
    pub(super) client: reqwest::Client,
    pub(super) mirrors: MirrorLinks,
    state: Mutex<State>,
}

/// The mutable state of the driver.
#[derive(Debug)]
pub(super) struct State {
    pub(super) serving: ServingState,
    /// The generation of the configuration that the servers' limits come from.
    pub(super) generation: Generation,
    /// The incarnation and the sequence number of the last claims message of each home.
    pub(super) last_messages: BTreeMap<RouterId, (u64, u64)>,
    /// The incarnation that each server last reported.
    pub(super) incarnations: BTreeMap<ServerId, Incarnation>,
    pending: HashMap<RequestId, Pending>,
    /// The routers that requests in flight were forwarded to.
    pub(super) forwarded_via: HashMap<RequestId, RouterId>,
}

/// A request without a final answer.
#[derive(Debug)]
struct Pending {
    job: Arc<Job>,
    tx: oneshot::Sender<Reply>,
}

/// The data needed to send a request. The shard counts as busy until the last reference is dropped.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) req: Request,
    pub(super) route: Route,
    _in_flight_guard: InFlightGuard,
}

/// Reports the caller as disconnected if dropped before the final answer.
struct CancelOnDrop {
    serving: Arc<ServingDriver>,
    cx: Arc<Context>,
    request: Option<RequestId>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            self.serving.caller_disconnected(&self.cx, &request);
        }
    }
}

impl ServingDriver {
    /// Creates the driver of a router that is not yet a home.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be created.
    pub fn new(
        authority: Arc<dyn Authority>,
        servers: Arc<dyn ServerControl>,
    ) -> Result<Self, reqwest::Error> {
        let claims = ClaimTable::new(ClaimConfig::default());
        let state = State {
            serving: ServingState::new(ServingConfig::default(), claims),
            generation: Generation::default(),
            last_messages: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            pending: HashMap::new(),
            forwarded_via: HashMap::new(),
        };
        Ok(Self {
            authority,
            servers,
            client: super::exchange::client()?,
            mirrors: MirrorLinks::default(),
            state: Mutex::new(state),
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a request along `route` and returns its final answer.
    pub async fn answer(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        req: Request,
        route: Route,
        in_flight_guard: InFlightGuard,
    ) -> Answer {
        let request = req.id.clone();
        let job = Job {
            req,
            route,
            _in_flight_guard: in_flight_guard,
        };
        let (reply, actions) = match self.accept_request(cx, job) {
            Ok(accepted) => accepted,
            Err(reply) => return convert::reply_to_message(reply),
        };
        let mut cancel_on_drop = CancelOnDrop {
            serving: Arc::clone(self),
            cx: Arc::clone(cx),
            request: Some(request),
        };
        self.start(cx, actions);
        let reply = reply.await;
        cancel_on_drop.request = None;
        // The sender is dropped without a reply only if a task of this process has panicked.
        let lost = |_dropped| Reply::Refused(RefusalReason::AnswerLost.into());
        convert::reply_to_message(reply.unwrap_or_else(lost))
    }

    fn accept_request(
        &self,
        cx: &Context,
        job: Job,
    ) -> Result<(oneshot::Receiver<Reply>, Vec<Action>), Reply> {
        let refuse = |reason: RefusalReason| Reply::Refused(reason.into());
        let deployment = cx.deployment.load_full();
        let deployment = deployment.ok_or_else(|| refuse(RefusalReason::NotReady))?;
        let service = deployment
            .service(&job.req.service)
            .ok_or_else(|| refuse(RefusalReason::UnknownService))?;
        let claim = claims::claim_request(service, &job).map_err(refuse)?;
        let request = job.req.id.clone();
        let incoming = IncomingRequest {
            request: request.clone(),
            shard: job.req.shard.clone(),
            caller: job.req.caller.clone(),
            deadline: job.req.deadline,
            server: job.route.server().clone(),
            claim,
        };
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        limits::ensure_queue(&mut state, cx, &deployment, &job);
        if incoming.claim.is_some() {
            claims::ensure_home_shard(&mut state, cx, service, &job);
        }
        let actions = state.serving.accept(cx.now(), incoming)?;
        let job = Arc::new(job);
        state.pending.insert(request, Pending { job, tx });
        Ok((rx, actions))
    }

    /// Starts the tasks for the given actions.
    pub(super) fn start(self: &Arc<Self>, cx: &Arc<Context>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Reply(request, reply) => self.reply(&request, reply),
                Action::Send(request, server) => self.spawn_send(cx, &request, server),
                Action::Cancel(request, server) => {
                    let (serving, cx) = (Arc::clone(self), Arc::clone(cx));
                    tokio::spawn(async move { serving.cancel(&cx, request, server).await });
                }
                Action::Mirror(request, standby, key) => {
                    self.mirror(cx, standby, key, Some(request));
                }
                Action::Update(standby, key) => self.mirror(cx, standby, key, None),
            }
        }
    }

    fn reply(&self, request: &RequestId, reply: Reply) {
        let pending = self.lock().pending.remove(request);
        if let Some(pending) = pending {
            // The receiver is dropped if the caller has just disconnected.
            let _receiver_dropped = pending.tx.send(reply);
        }
    }

    fn spawn_send(self: &Arc<Self>, cx: &Arc<Context>, request: &RequestId, server: ServerId) {
        let job = self
            .lock()
            .pending
            .get(request)
            .map(|row| Arc::clone(&row.job));
        let Some(job) = job else {
            return;
        };
        let (serving, cx) = (Arc::clone(self), Arc::clone(cx));
        tokio::spawn(async move { serving.send(&cx, job, server).await });
    }

    fn caller_disconnected(self: &Arc<Self>, cx: &Arc<Context>, request: &RequestId) {
        let actions = self.lock().serving.caller_disconnected(cx.now(), request);
        self.start(cx, actions);
    }

    /// Cancels a request on behalf of the router that forwarded it here.
    pub fn stop_request(self: &Arc<Self>, cx: &Arc<Context>, request: &RequestId) {
        self.caller_disconnected(cx, request);
    }

    /// Returns the number of requests in flight at a server, and of those queued for it.
    #[must_use]
    pub fn load_of(&self, server: &ServerId) -> (u32, u32) {
        let state = self.lock();
        let queue = state.serving.queue(server);
        queue.map_or((0, 0), |queue| (queue.in_flight(), queue.waiting()))
    }

    /// Returns whether all standby homes have complete copies of the claims.
    #[must_use]
    pub fn standbys_are_synced(&self) -> bool {
        self.lock().serving.mirror.standbys_to_sync().is_empty()
    }

    /// Ticks the state machine until the process ends.
    pub async fn run(self: Arc<Self>, cx: Arc<Context>) {
        let mut ticks = 0_u32;
        let mut reported = ReportedCounts::default();
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let actions = self.lock().serving.tick(cx.now());
            self.start(&cx, actions);
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(REFRESH_TICKS) {
                self.refresh(&cx);
                metrics::report(&cx, &self.lock(), &mut reported);
            }
        }
    }

    /// Applies the current assignments and the servers' reports, and starts to sync the standby homes
    /// whose copies are incomplete.
    pub fn refresh(self: &Arc<Self>, cx: &Arc<Context>) {
        let incomplete = {
            let mut state = self.lock();
            limits::apply_server_reports(&mut state, cx.now(), self.authority.server_reports());
            claims::refresh(&mut state, cx, &*self.authority);
            state.serving.mirror.standbys_to_sync()
        };
        for standby in incomplete {
            self.sync(cx, standby);
        }
    }
}
