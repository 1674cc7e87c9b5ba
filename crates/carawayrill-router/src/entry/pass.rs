//! From the entry router to the home of a request's shard.

use std::time::Duration;

use carawayrill_core::answer::refusal::Refusal;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ShardId;
use carawayrill_core::time::Time;
use tonic::Code;
use tonic::Status;

use crate::context::Context;
use crate::home::Home;
use crate::message::Answer;
use crate::message::Request;
use crate::peer::convert;

/// The first pause before a request that has not run is passed on again.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(160);

/// Passes a request to its home and returns the answer.
///
/// A request that has provably not run is passed on again, to the home that the answer hints at or
/// to the standby home, until its deadline leaves no time. Any other answer is final.
pub async fn pass(cx: &Context, home: &Home, req: Request) -> Answer {
    let mut pause = FIRST_PAUSE;
    let mut hint = None;
    let mut avoid = None;
    loop {
        let Some(target) = choose(cx, &req.shard, hint.take(), avoid.as_ref()) else {
            return Answer::from(RefusalReason::NoHome);
        };
        let answer = if target == cx.settings.router {
            home.serve(cx, req.clone()).await
        } else {
            forward(cx, &target, &req).await
        };
        if !may_pass_again(&answer) || cx.now() + pause >= req.deadline {
            return answer;
        }
        hint = answer.home_hint.filter(|hinted| *hinted != target);
        avoid = hint.is_none().then_some(target);
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Tells whether another try may help and can do no harm.
fn may_pass_again(answer: &Answer) -> bool {
    answer.reason.is_some_and(is_routing)
}

/// Tells whether a reason says that the request met a router or server that could not take it, and
/// that it has not run.
fn is_routing(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NotReady
            | RefusalReason::NoHome
            | RefusalReason::HomeUnreachable
            | RefusalReason::NotHome
            | RefusalReason::NoAuthority
            | RefusalReason::ServerLost
            | RefusalReason::ServerUnreachable
            | RefusalReason::Moving
            | RefusalReason::Fenced
            | RefusalReason::NoGrant
    )
}

fn unreachable_home(home: &RouterId) -> Answer {
    let detail = format!("no connection to the home {home}");
    Refusal::new(RefusalReason::HomeUnreachable, detail).into()
}

/// The home may have taken the request, and its reply is lost.
fn lost(detail: &str) -> Answer {
    Refusal::new(RefusalReason::HomeLost, detail).into()
}

/// Picks the router to pass a request to: the one hinted at, else the home, else the standby home.
fn choose(
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

/// Passes a request to another router.
pub async fn forward(cx: &Context, target: &RouterId, req: &Request) -> Answer {
    let Some(address) = cx.members.peer(target) else {
        return unreachable_home(target);
    };
    let now = cx.now();
    let left = req.deadline.since(now);
    let mut call = tonic::Request::new(convert::request_to_wire(req, now));
    call.set_timeout(left);
    let reply = cx.peers.router(address).forward(call).await;
    match reply {
        Ok(reply) => read_reply(reply.into_inner(), req),
        Err(status) => read_failure(&status, target, cx.now(), req.deadline),
    }
}

fn read_reply(reply: carawayrill_proto::wire::ForwardReply, req: &Request) -> Answer {
    convert::observe(reply.stamp);
    if reply.request_id != req.id.as_str() {
        // An answer to another request is nobody's here.
        return lost("the home answered another request");
    }
    convert::answer_from_wire(reply)
        .unwrap_or_else(|err| lost(&format!("the home's answer is malformed: {err}")))
}

/// Tells what a failed call means. Only a connection that never opened proves that the home has
/// not seen the request.
fn read_failure(status: &Status, target: &RouterId, now: Time, deadline: Time) -> Answer {
    if never_connected(status) {
        return unreachable_home(target);
    }
    if now >= deadline || status.code() == Code::DeadlineExceeded {
        return Answer::from(RefusalReason::AnswerLate);
    }
    lost(&format!(
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
