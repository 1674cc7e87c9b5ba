//! Processes one request of a caller: admission, queue, fencing check, run and response.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use carawayrill_core::id::ShardId;
use carawayrill_core::token::Token;
use compact_str::CompactString;
use compact_str::format_compact;
use futures_util::StreamExt;
use futures_util::stream;
use poem::Body;
use poem::Request;
use poem::Response;
use tokio::sync::SemaphorePermit;
use tokio::sync::watch;

use crate::server::Inner;
use crate::server::faults::Fault;
use crate::server::records::Run;
use crate::server::records::RunStatus;
use crate::server::request;
use crate::server::request::IncomingRequest;
use crate::server::request::Refusal;
use crate::server::request::ResponseBody;

/// The factor on the run time of requests at the start of a server's cold-start period.
const COLD_FACTOR: f64 = 4.0;

/// The delay between the two halves of a truncated response body.
const BODY_HALVES_DELAY: Duration = Duration::from_millis(20);

/// A request that has started to run.
#[derive(Debug, Clone, Copy)]
struct StartedRun {
    number: usize,
}

impl Inner {
    /// Processes a request of a caller.
    pub(super) async fn request(
        self: Arc<Self>,
        req: Request,
        peer: Option<SocketAddr>,
    ) -> Response {
        let incoming = match request::receive(req).await {
            Ok(incoming) => incoming,
            Err(response) => return response,
        };
        self.faults.until_unfrozen().await;
        let response = match self.admit(&incoming) {
            Ok(cancelled) => self.queue_and_run(&incoming, cancelled, peer).await,
            Err(refusal) => return self.refuse(refusal, &incoming),
        };
        self.remove_pending(&incoming);
        response
    }

    /// Removes a request from the table of pending requests.
    fn remove_pending(&self, incoming: &IncomingRequest) {
        let mut state = self.lock();
        state.pending.remove(&incoming.request);
        state.last_request.clone_from(&incoming.request);
    }

    /// Admits a request to the queue. The returned receiver reports its cancellation.
    fn admit(&self, incoming: &IncomingRequest) -> Result<watch::Receiver<bool>, Refusal> {
        if self.faults.trigger(Fault::Shed).is_some() {
            return Err(Refusal::Shed);
        }
        let mut state = self.lock();
        if state.load.draining {
            return Err(Refusal::Draining);
        }
        if state.load.queued >= self.settings.queue {
            return Err(Refusal::Shed);
        }
        let connections = self.connections.count();
        state.stats.most_connections = state.stats.most_connections.max(connections);
        let (cancel_tx, cancelled) = watch::channel(false);
        state.pending.insert(incoming.request.clone(), cancel_tx);
        Ok(cancelled)
    }

    fn refuse(&self, refusal: Refusal, incoming: &IncomingRequest) -> Response {
        let mut state = self.lock();
        *state
            .stats
            .refused
            .entry(refusal.code().into())
            .or_default() += 1;
        drop(state);
        request::refuse(refusal, &incoming.request)
    }

    async fn queue_and_run(
        &self,
        incoming: &IncomingRequest,
        mut cancelled: watch::Receiver<bool>,
        peer: Option<SocketAddr>,
    ) -> Response {
        let slot = match self.acquire_slot(incoming, &mut cancelled).await {
            Ok(slot) => slot,
            Err(refusal) => return self.refuse(refusal, incoming),
        };
        self.faults.until_unfrozen().await;
        let started = match self.start(incoming, &cancelled) {
            Ok(started) => started,
            Err(refusal) => return self.refuse(refusal, incoming),
        };
        let end = self.run(incoming, &mut cancelled).await;
        self.faults.until_unfrozen().await;
        self.end(incoming, started, end);
        drop(slot);
        self.respond(incoming, started, end, peer).await
    }

    /// Waits for a free slot.
    async fn acquire_slot(
        &self,
        incoming: &IncomingRequest,
        cancelled: &mut watch::Receiver<bool>,
    ) -> Result<SemaphorePermit<'_>, Refusal> {
        if let Ok(slot) = self.slots.try_acquire() {
            return Ok(slot);
        }
        self.count_waiting();
        let slot = tokio::select! {
            slot = self.slots.acquire() => slot.map_err(|_closed| Refusal::Shed),
            _ = cancelled.wait_for(|cancelled| *cancelled) => Err(Refusal::Cancelled),
            () = tokio::time::sleep_until(incoming.deadline.into()) => Err(Refusal::Deadline),
        };
        self.lock().load.queued -= 1;
        slot
    }

    fn count_waiting(&self) {
        let mut state = self.lock();
        state.load.queued += 1;
        state.stats.waited += 1;
    }

    /// Checks a request and starts it in one step, under the lock, so that no order is applied in
    /// between.
    fn start(
        &self,
        incoming: &IncomingRequest,
        cancelled: &watch::Receiver<bool>,
    ) -> Result<StartedRun, Refusal> {
        let mut state = self.lock();
        if *cancelled.borrow() {
            return Err(Refusal::Cancelled);
        }
        if Instant::now() >= incoming.deadline {
            return Err(Refusal::Deadline);
        }
        let now = self.clock();
        if let Some((shard, token)) = self.claimed_shard(incoming)? {
            state
                .fence
                .start(now, &shard, token)
                .map_err(Refusal::from)?;
        }
        state.load.running += 1;
        state.stats.runs += 1;
        state.stats.most_running = state.stats.most_running.max(state.load.running);
        let number = state.records.start(Run {
            server: self.settings.id.clone(),
            request: incoming.request.clone(),
            shard: text(incoming.shard.as_ref()),
            token: text(incoming.token.as_ref()),
            path: incoming.path.clone(),
            idempotency_key: incoming.idempotency_key.clone(),
            started: now,
            ended: now,
            end: RunStatus::Running,
        });
        Ok(StartedRun { number })
    }

    /// Returns the shard and token that a request names. A server that checks fencing tokens
    /// refuses a request without them.
    fn claimed_shard(
        &self,
        incoming: &IncomingRequest,
    ) -> Result<Option<(ShardId, Token)>, Refusal> {
        match (&incoming.shard, incoming.token) {
            (Some(shard), Some(token)) => Ok(Some((shard.clone(), token))),
            _ if self.settings.fencing => Err(Refusal::NoGrant),
            _ => Ok(None),
        }
    }

    /// Waits for the service time, a cancellation or the deadline.
    async fn run(
        &self,
        incoming: &IncomingRequest,
        cancelled: &mut watch::Receiver<bool>,
    ) -> RunStatus {
        tokio::select! {
            () = tokio::time::sleep(self.service_time()) => RunStatus::Done,
            _ = cancelled.wait_for(|cancelled| *cancelled) => RunStatus::Cancelled,
            () = tokio::time::sleep_until(incoming.deadline.into()) => RunStatus::Deadline,
        }
    }

    /// Returns the run time of a request that starts now.
    fn service_time(&self) -> Duration {
        let slow = self.faults.trigger(Fault::Slow).unwrap_or_default();
        let cold = self.settings.cold_start;
        let left = cold.saturating_sub(self.started.elapsed());
        if left.is_zero() {
            return self.settings.service_time + slow;
        }
        let share = left.as_secs_f64() / cold.as_secs_f64();
        let factor = 1.0 + (COLD_FACTOR - 1.0) * share;
        self.settings.service_time.mul_f64(factor) + slow
    }

    fn end(&self, incoming: &IncomingRequest, started: StartedRun, end: RunStatus) {
        let now = self.clock();
        let mut state = self.lock();
        state.load.running -= 1;
        state.records.end(started.number, end, now);
        if let (Some(shard), Some(_)) = (&incoming.shard, incoming.token) {
            state.fence.finish(shard);
        }
    }

    /// Returns the response to a request that has run.
    async fn respond(
        &self,
        incoming: &IncomingRequest,
        started: StartedRun,
        end: RunStatus,
        peer: Option<SocketAddr>,
    ) -> Response {
        if let Some(delay) = self.faults.trigger(Fault::LateAnswer) {
            tokio::time::sleep(delay).await;
        }
        if let Some(peer) = peer
            && self.faults.trigger(Fault::LoseAnswer).is_some()
        {
            self.connections.abort(peer);
        }
        match end {
            RunStatus::Running | RunStatus::Done => self.full_response(incoming, started, peer),
            // The request ran in part, so the response is no refusal.
            RunStatus::Cancelled => request::response_builder(499, &incoming.request).finish(),
            RunStatus::Deadline => request::response_builder(504, &incoming.request).finish(),
        }
    }

    /// Returns the response with its body, altered by the injected fault if there is one.
    fn full_response(
        &self,
        incoming: &IncomingRequest,
        started: StartedRun,
        peer: Option<SocketAddr>,
    ) -> Response {
        let mut request_id = incoming.request.clone();
        if self.faults.trigger(Fault::OtherAnswer).is_some() {
            request_id.clone_from(&self.lock().last_request);
        }
        let body = ResponseBody {
            server: self.settings.id.clone(),
            service: incoming.service.clone(),
            path: incoming.path.clone(),
            token: text(incoming.token.as_ref()),
            request: request_id.clone(),
            body_hash: format_compact!("{:016x}", incoming.body_hash.0),
            run: started.number as u64,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let response = request::response_builder(200, &request_id).content_type("application/json");
        if let Some(peer) = peer
            && self.faults.trigger(Fault::BreakOff).is_some()
        {
            let connections = self.connections.clone();
            return response.body(truncated_body(&body, move || connections.abort(peer)));
        }
        response.body(body)
    }
}

/// Returns a body whose connection is aborted after its first half.
fn truncated_body(body: &[u8], abort: impl FnOnce() + Send + 'static) -> Body {
    let (first, second) = body.split_at(body.len() / 2);
    let first = Bytes::copy_from_slice(first);
    let second = Bytes::copy_from_slice(second);
    let rest = stream::once(async move {
        // Gives the connection time to write the first half.
        tokio::time::sleep(BODY_HALVES_DELAY).await;
        abort();
        Ok::<_, io::Error>(second)
    });
    Body::from_bytes_stream(stream::once(async { Ok(first) }).chain(rest))
}

fn text<T: std::fmt::Display>(value: Option<&T>) -> CompactString {
    value.map_or_else(CompactString::default, |value| format_compact!("{value}"))
}
