//! Sends requests that have a slot of their server, and cancels abandoned ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::answer::serving::Action;
use carawayrill_core::answer::serving::SendFailure;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::token::Token;
use carawayrill_proto::wire;

use crate::context::Context;
use crate::entry::forward;
use crate::home::serve::driver::Job;
use crate::home::serve::driver::ServingDriver;
use crate::home::serve::exchange;
use crate::home::serve::exchange::Exchange;
use crate::home::serve::exchange::Target;
use crate::home::serve::reason_of;
use crate::home::serve::route::Route;
use crate::message::OnBehalf;
use crate::peer::convert;

/// The timeout of one try of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of tries of a cancellation.
const CANCEL_TRIES: u32 = 3;
/// The delay between two tries of a cancellation.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(50);

impl ServingDriver {
    /// Sends a request and applies the result.
    pub(super) async fn send(self: Arc<Self>, cx: &Arc<Context>, job: Arc<Job>, server: ServerId) {
        let result = match self.prepare_send(cx, &job, &server) {
            Ok((target, via)) => (target.token, self.exchange(cx, &job, &target, via).await),
            Err(reason) => (job.route.token(), Exchange::NotWritten(reason)),
        };
        let actions = self.finish_send(cx, &job.req.id, &server, result);
        self.start(cx, actions);
    }

    /// Checks the authority and marks the request as sent, atomically under the state lock.
    fn prepare_send(
        &self,
        cx: &Context,
        job: &Job,
        server: &ServerId,
    ) -> Result<(Target, Option<RouterId>), RefusalReason> {
        let mut state = self.lock();
        let now = cx.now();
        let route = self.current_route(cx, job)?;
        if route.server() != server {
            return Err(RefusalReason::Moving);
        }
        if let Route::Home(permit) = &route {
            let confirmed = self.authority.confirm(now, permit);
            confirmed.map_err(|denial| reason_of(&denial))?;
        }
        let target = Target {
            server: server.clone(),
            address: address_of(cx, server).ok_or(RefusalReason::NotReady)?,
            token: route.token(),
        };
        let request = &job.req.id;
        if !state.serving.mark_sending(request, server, target.token) {
            return Err(RefusalReason::CallerGone);
        }
        if let Some(via) = route.via() {
            state.forwarded_via.insert(request.clone(), via.clone());
        }
        emit_sent(job, &target);
        Ok((target, route.via().cloned()))
    }

    /// Returns the current route. The permit is requested again, since the request may have been
    /// queued for long.
    fn current_route(&self, cx: &Context, job: &Job) -> Result<Route, RefusalReason> {
        match &job.route {
            Route::OnBehalf(_) => Ok(job.route.clone()),
            Route::Home(_) => {
                let permit = self.authority.permit(cx.now(), &job.req.shard);
                let permit = permit.map_err(|denial| reason_of(&denial))?;
                Ok(Route::Home(permit))
            }
        }
    }

    async fn exchange(
        &self,
        cx: &Arc<Context>,
        job: &Job,
        target: &Target,
        via: Option<RouterId>,
    ) -> Exchange {
        let Some(via) = via else {
            let left = job.req.deadline.since(cx.now());
            return exchange::send(&self.client, target, &job.req, left).await;
        };
        let mut req = job.req.clone();
        req.on_behalf = Some(OnBehalf {
            server: target.server.clone(),
            token: target.token,
        });
        let started = Instant::now();
        let mut answer = forward::forward(cx, &via, &req).await;
        if answer.reason == Some(RefusalReason::HomeUnreachable) {
            // The server's home is lost too. While the store is down, only the stored assignment
            // names the router that has taken over from it.
            let standby = cx.routes().standby_home_of(&target.server, &via);
            match standby {
                Some(standby) if standby == cx.settings.router => {
                    let left = job.req.deadline.since(cx.now());
                    return exchange::send(&self.client, target, &job.req, left).await;
                }
                Some(standby) => answer = forward::forward(cx, &standby, &req).await,
                None => {}
            }
        }
        exchange::exchange_from_home_answer(answer, target, started.elapsed())
    }

    fn finish_send(
        &self,
        cx: &Context,
        request: &RequestId,
        server: &ServerId,
        (token, exchange): (Token, Exchange),
    ) -> Vec<Action> {
        let mut state = self.lock();
        state.forwarded_via.remove(request);
        let now = cx.now();
        let serving = &mut state.serving;
        match exchange {
            Exchange::Answered(answer, took) => {
                serving.answered(now, request, (server, token), answer, took)
            }
            Exchange::Refused(refusal) => serving.refused(now, request, (server, token), refusal),
            Exchange::NotWritten(reason) => {
                serving.failed(now, request, SendFailure::NotWritten(reason))
            }
            Exchange::Lost(reason) => serving.failed(now, request, SendFailure::Lost(reason)),
        }
    }

    /// Cancels a request at its server and applies the acknowledgement. Without one, the slot stays
    /// occupied until the server must have stopped because of the request's deadline.
    pub(super) async fn cancel(
        self: Arc<Self>,
        cx: &Arc<Context>,
        request: RequestId,
        server: ServerId,
    ) {
        for _ in 0..CANCEL_TRIES {
            if self.cancel_once(cx, &request, &server).await {
                let actions = self.lock().serving.cancelled(cx.now(), &request);
                self.start(cx, actions);
                return;
            }
            tokio::time::sleep(CANCEL_RETRY_DELAY).await;
        }
    }

    async fn cancel_once(&self, cx: &Context, request: &RequestId, server: &ServerId) -> bool {
        let via = self.lock().forwarded_via.get(request).cloned();
        if let Some(via) = via {
            return cancel_at_home(cx, &via, request).await;
        }
        let Some(address) = address_of(cx, server) else {
            return false;
        };
        if !self.start_control_call(server) {
            return false;
        }
        let cancelled = self
            .servers
            .cancel(address, request.as_str(), CANCEL_TIMEOUT)
            .await;
        if let Some(queue) = self.lock().serving.queue_mut(server) {
            queue.end_control_call();
        }
        cancelled.is_ok()
    }

    fn start_control_call(&self, server: &ServerId) -> bool {
        let mut state = self.lock();
        let queue = state.serving.queue_mut(server);
        queue.is_some_and(carawayrill_core::answer::queue::ServerQueue::start_control_call)
    }
}

/// Cancels a request at the home of its server, which forwards the cancellation.
async fn cancel_at_home(cx: &Context, home: &RouterId, request: &RequestId) -> bool {
    let Some(address) = cx.members.peer(home) else {
        return false;
    };
    let mut call = tonic::Request::new(wire::CancelRequest {
        stamp: convert::stamp(),
        request_id: request.to_string(),
        shard: String::new(),
    });
    call.set_timeout(CANCEL_TIMEOUT);
    cx.peers.router(address).cancel(call).await.is_ok()
}

fn address_of(cx: &Context, server: &ServerId) -> Option<SocketAddr> {
    let deployment = cx.deployment.load();
    Some(deployment.as_ref()?.server(server)?.address)
}

fn emit_sent(job: &Job, target: &Target) {
    let request = job.req.id.clone();
    let shard = job.req.shard.clone();
    let (server, token) = (target.server.clone(), target.token);
    carawayrill_telemetry::emit_request(|| EventKind::RequestSent {
        request,
        shard,
        server,
        token,
    });
}
