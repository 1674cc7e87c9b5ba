//! Forwards requests from the entry router to the home of their shard, with retries.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::answer::refusal::Refusal;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::answer::retry::FailedTry;
use carawayrill_core::answer::retry::RetryDecision;
use carawayrill_core::id::RequestId;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ShardId;
use carawayrill_core::outcome::Outcome;
use carawayrill_core::time::Time;
use tonic::Code;
use tonic::Status;

use crate::context::Context;
use crate::entry::check;
use crate::home::Home;
use crate::message::Answer;
use crate::message::Request;
use crate::peer::convert;

/// The time that a call to a home may exceed the request's deadline, so that the home's own answer
/// at the deadline arrives before the call times out.
const HOME_REPLY_MARGIN: Duration = Duration::from_millis(50);
/// The approximate size of a request or an answer without its body, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 512;

/// Forwards a request to its home and returns the final answer.
///
/// A request that has certainly not run is retried within the service's retry budget, at the home
/// that the answer hints at or at the standby home. A request that may have run is retried only if
/// the service declares that it may be repeated. Any other answer is final.
pub async fn forward_with_retries(cx: &Arc<Context>, home: &Home, mut req: Request) -> Answer {
    cx.retries.record_first_try(&req.service);
    let id = req.id.clone();
    let mut tries = 0;
    let mut hint = None;
    let mut avoid = None;
    loop {
        tries += 1;
        let target = choose_router(cx, &req.shard, hint.take(), avoid.as_ref());
        let answer = match &target {
            None => Answer::from(RefusalReason::NoHome),
            Some(target) => send_to_home(cx, home, target, &req).await,
        };
        let crossing_bytes = match &target {
            Some(target) => count_bytes(cx, home, target, &req, &answer),
            None => 0,
        };
        let Some(wait) = wait_before_retry(cx, &req, &answer, tries, crossing_bytes) else {
            return answer;
        };
        hint = answer
            .home_hint
            .filter(|hinted| Some(hinted) != target.as_ref());
        avoid = if hint.is_none() { target } else { None };
        if answer.outcome == Outcome::Unknown {
            // The first try may still be in flight at the home under its own identifier.
            req.id = retry_id(&id, tries);
        }
        tokio::time::sleep(wait).await;
    }
}

async fn send_to_home(cx: &Arc<Context>, home: &Home, target: &RouterId, req: &Request) -> Answer {
    if *target == cx.settings.router {
        home.serve(cx, req.clone()).await
    } else {
        forward(cx, target, req).await
    }
}

/// Returns the backoff before the next try, or `None` if the answer is final.
fn wait_before_retry(
    cx: &Context,
    req: &Request,
    answer: &Answer,
    tries: u32,
    crossing_bytes: u64,
) -> Option<Duration> {
    let failed = FailedTry {
        refusal: Refusal::from(answer.reason?),
        tries,
        deadline: req.deadline,
        repeatable: is_repeatable(cx, req),
        crossing_bytes,
    };
    match cx.retries.decide(&req.service, &failed, cx.now()) {
        RetryDecision::After(wait) => Some(wait),
        RetryDecision::GiveUp(_) => None,
    }
}

/// Returns whether the request may run more than once: the service declares it, and the request
/// has no idempotency key.
fn is_repeatable(cx: &Context, req: &Request) -> bool {
    let deployment = cx.deployment.load();
    let service = deployment
        .as_ref()
        .and_then(|deployment| deployment.service(&req.service));
    let declared = service.is_some_and(|service| check::is_repeatable(service, &req.method));
    declared && req.idempotency_key.is_none()
}

fn retry_id(first: &RequestId, tries: u32) -> RequestId {
    let text = format!("{first}-r{tries}");
    RequestId::try_from(text.as_str()).unwrap_or_else(|_too_long| first.clone())
}

/// Counts the bytes of a try whose home is in another region. Returns the number of bytes that
/// crossed regions.
fn count_bytes(
    cx: &Context,
    home: &Home,
    target: &RouterId,
    req: &Request,
    answer: &Answer,
) -> u64 {
    let deployment = cx.deployment.load();
    let (Some(deployment), Some(member)) = (deployment.as_ref(), cx.members.get(target)) else {
        return 0;
    };
    let own = deployment.region_of(&cx.settings.data_centre);
    let (Some(own), Some(other)) = (own, deployment.region_of(&member.data_centre)) else {
        return 0;
    };
    let size = |body: usize| u64::try_from(body + MESSAGE_OVERHEAD_BYTES).unwrap_or(u64::MAX);
    let sent = home.count_bytes(&req.shard, own, other, size(req.body.len()));
    sent + home.count_bytes(&req.shard, other, own, size(answer.body.len()))
}

fn home_unreachable(home: &RouterId) -> Answer {
    let detail = format!("no connection to the home {home}");
    Refusal::new(RefusalReason::HomeUnreachable, detail).into()
}

/// Returns the refusal of a request that the home may have received, but whose reply was lost.
fn home_lost(detail: &str) -> Answer {
    Refusal::new(RefusalReason::HomeLost, detail).into()
}

/// Returns the router to forward a request to: the hinted one if there is one, else the home. The
/// standby home takes the home's place if `avoid` is the home.
fn choose_router(
    cx: &Context,
    shard: &ShardId,
    hint: Option<RouterId>,
    avoid: Option<&RouterId>,
) -> Option<RouterId> {
    if hint.is_some() {
        return hint;
    }
    let row = cx.routes().row(shard).cloned()?;
    if avoid == Some(&row.home) && row.standby_home.is_some() {
        return row.standby_home.clone();
    }
    Some(row.home.clone())
}

/// Forwards a request to another router in one call, without retries.
pub async fn forward(cx: &Context, target: &RouterId, req: &Request) -> Answer {
    let Some(address) = cx.members.peer(target) else {
        return home_unreachable(target);
    };
    let now = cx.now();
    let left = req.deadline.since(now);
    let mut call = tonic::Request::new(convert::request_to_wire(req, now));
    call.set_timeout(left + HOME_REPLY_MARGIN);
    let reply = cx.peers.router(address).forward(call).await;
    match reply {
        Ok(reply) => answer_from_reply(reply.into_inner(), req),
        Err(status) => answer_from_status(&status, target, cx.now(), req.deadline),
    }
}

fn answer_from_reply(reply: carawayrill_proto::wire::ForwardReply, req: &Request) -> Answer {
    convert::observe(reply.stamp);
    if reply.request_id != req.id.as_str() {
        // The reply belongs to another request, so the outcome of this one is unknown.
        return home_lost("the home answered another request");
    }
    convert::answer_from_wire(reply)
        .unwrap_or_else(|err| home_lost(&format!("the home's answer is malformed: {err}")))
}

/// Returns the answer for a failed call. Only a connection that was never established proves that
/// the home has not received the request.
fn answer_from_status(status: &Status, target: &RouterId, now: Time, deadline: Time) -> Answer {
    if never_connected(status) {
        return home_unreachable(target);
    }
    if now >= deadline || status.code() == Code::DeadlineExceeded {
        return Answer::from(RefusalReason::AnswerLate);
    }
    home_lost(&format!(
        "the call to {target} failed: {}",
        status.message()
    ))
}

fn never_connected(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(err) = source {
        if err.is::<tonic::ConnectError>() {
            return true;
        }
        source = err.source();
    }
    false
}
