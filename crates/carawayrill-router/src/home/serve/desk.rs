//! The I/O around [`ServingState`]: requests go in, its actions are carried out.
//!
//! Every action runs as a task of its own and puts its result in as the next input. An exchange
//! with a server thus goes on when its caller is gone, so that the slot is held and a claim learns
//! its first answer.

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
use crate::home::flights::Flight;
use crate::home::serve::authority::Authority;
use crate::home::serve::claims;
use crate::home::serve::convert;
use crate::home::serve::limits;
use crate::home::serve::metrics;
use crate::home::serve::metrics::Reported;
use crate::home::serve::mirror::Mirrors;
use crate::home::serve::route::Route;
use crate::message::Answer;
use crate::message::Request;

/// How often the tables' systems run.
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two looks at the assignments.
const REFRESH_TICKS: u32 = 50;

/// The requests of one home.
#[derive(Debug)]
pub struct Desk {
    pub(super) authority: Arc<dyn Authority>,
    pub(super) servers: Arc<dyn ServerControl>,
    pub(super) client: reqwest::Client,
    pub(super) mirrors: Mirrors,
    state: Mutex<State>,
}

/// What changes with each request.
#[derive(Debug)]
pub(super) struct State {
    pub(super) serving: ServingState,
    /// The configuration that the servers' limits were taken from.
    pub(super) generation: Generation,
    /// The last message of claims that each home sent: its run and the message's number.
    pub(super) heard: BTreeMap<RouterId, (u64, u64)>,
    /// The run in which each server was last seen.
    pub(super) runs: BTreeMap<ServerId, Incarnation>,
    pending: HashMap<RequestId, Pending>,
    /// The routers that sent requests were passed on to.
    pub(super) vias: HashMap<RequestId, RouterId>,
}

/// A request that has no final answer yet.
#[derive(Debug)]
struct Pending {
    job: Arc<Job>,
    tx: oneshot::Sender<Reply>,
}

/// What sending a request needs. The shard counts as busy until the last copy is dropped.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) req: Request,
    pub(super) route: Route,
    _flight: Flight,
}

/// Tells the desk that a caller hung up, if it is dropped before the final answer.
struct HangUp {
    desk: Arc<Desk>,
    cx: Arc<Context>,
    request: Option<RequestId>,
}

impl Drop for HangUp {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            self.desk.hang_up(&self.cx, &request);
        }
    }
}

impl Desk {
    /// Makes the desk of a router that is the home of nothing.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library can't be set up.
    pub fn new(
        authority: Arc<dyn Authority>,
        servers: Arc<dyn ServerControl>,
    ) -> Result<Self, reqwest::Error> {
        let claims = ClaimTable::new(ClaimConfig::default());
        let state = State {
            serving: ServingState::new(ServingConfig::default(), claims),
            generation: Generation::default(),
            heard: BTreeMap::new(),
            runs: BTreeMap::new(),
            pending: HashMap::new(),
            vias: HashMap::new(),
        };
        Ok(Self {
            authority,
            servers,
            client: super::exchange::client()?,
            mirrors: Mirrors::default(),
            state: Mutex::new(state),
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a request that may be sent along `route`.
    pub async fn answer(
        self: &Arc<Self>,
        cx: &Arc<Context>,
        req: Request,
        route: Route,
        flight: Flight,
    ) -> Answer {
        let request = req.id.clone();
        let job = Job {
            req,
            route,
            _flight: flight,
        };
        let (reply, actions) = match self.arrive(cx, job) {
            Ok(taken_in) => taken_in,
            Err(reply) => return convert::reply_to_message(reply),
        };
        let mut hang_up = HangUp {
            desk: Arc::clone(self),
            cx: Arc::clone(cx),
            request: Some(request),
        };
        self.start(cx, actions);
        let reply = reply.await;
        hang_up.request = None;
        // The sender is only dropped without a reply if a task of this process has panicked.
        let lost = |_dropped| Reply::Refused(RefusalReason::AnswerLost.into());
        convert::reply_to_message(reply.unwrap_or_else(lost))
    }

    fn arrive(
        &self,
        cx: &Context,
        job: Job,
    ) -> Result<(oneshot::Receiver<Reply>, Vec<Action>), Reply> {
        let refuse = |reason: RefusalReason| Reply::Refused(reason.into());
        let whole = cx.deployment.load_full();
        let whole = whole.ok_or_else(|| refuse(RefusalReason::NotReady))?;
        let service = whole
            .service(&job.req.service)
            .ok_or_else(|| refuse(RefusalReason::UnknownService))?;
        let claim = claims::ask(service, &job).map_err(refuse)?;
        let request = job.req.id.clone();
        let arrival = IncomingRequest {
            request: request.clone(),
            shard: job.req.shard.clone(),
            caller: job.req.caller.clone(),
            deadline: job.req.deadline,
            server: job.route.server().clone(),
            claim,
        };
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        limits::take_in(&mut state, cx, &whole, &job);
        if arrival.claim.is_some() {
            claims::own(&mut state, cx, service, &job);
        }
        let actions = state.serving.accept(cx.now(), arrival)?;
        let job = Arc::new(job);
        state.pending.insert(request, Pending { job, tx });
        Ok((rx, actions))
    }

    /// Carries out actions.
    pub(super) fn start(self: &Arc<Self>, cx: &Arc<Context>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Reply(request, reply) => self.reply(&request, reply),
                Action::Send(request, server) => self.spawn_send(cx, &request, server),
                Action::Cancel(request, server) => {
                    let (desk, cx) = (Arc::clone(self), Arc::clone(cx));
                    tokio::spawn(async move { desk.cancel(&cx, request, server).await });
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
            // The caller may have hung up at this moment; nobody is left to answer then.
            let _gone = pending.tx.send(reply);
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
        let (desk, cx) = (Arc::clone(self), Arc::clone(cx));
        tokio::spawn(async move { desk.send(&cx, job, server).await });
    }

    fn hang_up(self: &Arc<Self>, cx: &Arc<Context>, request: &RequestId) {
        let actions = self.lock().serving.caller_disconnected(cx.now(), request);
        self.start(cx, actions);
    }

    /// Stops a request on behalf of the router that passed it here.
    pub fn stop_request(self: &Arc<Self>, cx: &Arc<Context>, request: &RequestId) {
        self.hang_up(cx, request);
    }

    /// Returns the requests that have a slot of a server, and those that wait for one.
    #[must_use]
    pub fn load_of(&self, server: &ServerId) -> (u32, u32) {
        let state = self.lock();
        let queue = state.serving.queue(server);
        queue.map_or((0, 0), |queue| (queue.in_flight(), queue.waiting()))
    }

    /// Returns whether all standby homes have complete copies of the claims.
    #[must_use]
    pub fn is_copied(&self) -> bool {
        self.lock().serving.mirror.standbys_to_sync().is_empty()
    }

    /// Runs the tables' systems for as long as the process runs.
    pub async fn run(self: Arc<Self>, cx: Arc<Context>) {
        let mut ticks = 0_u32;
        let mut reported = Reported::default();
        loop {
            tokio::time::sleep(TICK).await;
            let actions = self.lock().serving.tick(cx.now());
            self.start(&cx, actions);
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(REFRESH_TICKS) {
                self.refresh(&cx);
                metrics::report(&cx, &self.lock(), &mut reported);
            }
        }
    }

    /// Takes in the present assignments, and has the copies at standby homes made that they want.
    pub fn refresh(self: &Arc<Self>, cx: &Arc<Context>) {
        let behind = {
            let mut state = self.lock();
            limits::take_in_runs(&mut state, cx.now(), self.authority.runs());
            claims::refresh(&mut state, cx, &*self.authority);
            state.serving.mirror.standbys_to_sync()
        };
        for standby in behind {
            self.sync(cx, standby);
        }
    }
}
