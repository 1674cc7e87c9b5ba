//! Applies the configured limits of servers and the servers' own reports to their queues.

use carawayrill_config::deployment::Deployment;
use carawayrill_config::deployment::Service;
use carawayrill_core::answer::queue::ServerLimits;
use carawayrill_core::answer::queue::ServerQueue;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;

use crate::context::Context;
use crate::home::ownership::ServerReport;
use crate::home::serve::driver::Job;
use crate::home::serve::driver::State;

/// Ensures that there is a queue for the server of a request, and applies a new configuration's
/// limits.
pub(super) fn ensure_queue(state: &mut State, cx: &Context, deployment: &Deployment, job: &Job) {
    if state.generation != deployment.generation {
        state.generation = deployment.generation;
        update_limits(state, cx, deployment);
    }
    let server = job.route.server();
    if state.serving.queue(server).is_some() {
        return;
    }
    let Some(limits) = limits_of(deployment, server) else {
        return;
    };
    let queue = if needs_warm_up(cx, job) {
        ServerQueue::new(limits, cx.now())
    } else {
        ServerQueue::warm(limits, cx.now())
    };
    state.serving.add_server(server, queue);
}

/// Returns whether a server without a queue here starts cold. The reason of its assignment shows
/// whether it is a new owner; after a mere change of home it is still warm.
fn needs_warm_up(cx: &Context, job: &Job) -> bool {
    let routes = cx.routes();
    let row = routes.row(&job.req.shard);
    row.is_some_and(|row| matches!(row.reason, Reason::Initial | Reason::Balance))
}

fn update_limits(state: &mut State, cx: &Context, deployment: &Deployment) {
    for server in &deployment.servers {
        let limits = limits_of(deployment, &server.id);
        if let (Some(limits), Some(queue)) = (limits, state.serving.queue_mut(&server.id)) {
            queue.set_limits(cx.now(), limits);
        }
    }
}

/// Applies the servers' reports to their queues: a new incarnation starts cold, and a load report
/// counts for a limited time.
pub(super) fn apply_server_reports(state: &mut State, now: Time, reports: Vec<ServerReport>) {
    for report in reports {
        let previous = state
            .incarnations
            .insert(report.server.clone(), report.incarnation);
        let Some(queue) = state.serving.queue_mut(&report.server) else {
            continue;
        };
        if previous.is_some_and(|previous| previous < report.incarnation) {
            queue.restart(now);
        }
        queue.report(report.at, report.load);
    }
}

fn limits_of(deployment: &Deployment, server: &ServerId) -> Option<ServerLimits> {
    let service = deployment.service(&deployment.server(server)?.service)?;
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
