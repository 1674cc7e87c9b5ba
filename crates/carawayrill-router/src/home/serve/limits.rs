//! The declared limits of servers, and what servers say of themselves.

use carawayrill_config::deployment::Deployment;
use carawayrill_config::deployment::Service;
use carawayrill_core::answer::queue::ServerLimits;
use carawayrill_core::answer::queue::ServerQueue;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;

use crate::context::Context;
use crate::home::control::ServerRun;
use crate::home::serve::desk::Job;
use crate::home::serve::desk::State;

/// Has a queue ready for the server that a request goes to.
pub(super) fn take_in(state: &mut State, cx: &Context, whole: &Deployment, job: &Job) {
    if state.generation != whole.generation {
        state.generation = whole.generation;
        change_limits(state, cx, whole);
    }
    let server = job.route.server();
    if state.serving.queue(server).is_some() {
        return;
    }
    let Some(limits) = limits_of(whole, server) else {
        return;
    };
    let queue = if is_new(cx, job) {
        ServerQueue::new(limits, cx.now())
    } else {
        ServerQueue::warm(limits, cx.now())
    };
    state.serving.add_server(server, queue);
}

/// Returns whether a server seen for the first time has not served before, by the reason of its
/// assignment. After a change of home, the server is as warm as it was.
fn is_new(cx: &Context, job: &Job) -> bool {
    let routes = cx.routes();
    let row = routes.row(&job.req.shard);
    row.is_some_and(|row| matches!(row.reason, Reason::Initial | Reason::Balance))
}

fn change_limits(state: &mut State, cx: &Context, whole: &Deployment) {
    for server in &whole.servers {
        let limits = limits_of(whole, &server.id);
        if let (Some(limits), Some(queue)) = (limits, state.serving.queue_mut(&server.id)) {
            queue.set_limits(cx.now(), limits);
        }
    }
}

/// Takes in what servers say of themselves: a new run starts cold, and a report of load counts for
/// a while.
pub(super) fn take_in_runs(state: &mut State, now: Time, runs: Vec<ServerRun>) {
    for run in runs {
        let former = state.runs.insert(run.server.clone(), run.incarnation);
        let Some(queue) = state.serving.queue_mut(&run.server) else {
            continue;
        };
        if former.is_some_and(|former| former < run.incarnation) {
            queue.restart(now);
        }
        queue.report(run.at, run.load);
    }
}

fn limits_of(whole: &Deployment, server: &ServerId) -> Option<ServerLimits> {
    let service = whole.service(&whole.server(server)?.service)?;
    Some(limits(service))
}

fn limits(service: &Service) -> ServerLimits {
    ServerLimits {
        slots: service.slots,
        connections: service.connections,
        queue: service.queue_limit,
        warm_up: service.warm_up.0,
    }
}
