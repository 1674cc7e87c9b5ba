//! The graceful shutdown of a front.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::shutdown::ShutdownSchedule;
use carawayrill_core::event::EventKind;
use carawayrill_core::time::Time;
use carawayrill_telemetry::emit;
use tokio::sync::watch;

use crate::clock;
use crate::front::Front;
use crate::lease_manager::LeaseManager;
use crate::state::Shared;

/// How often a graceful shutdown checks whether all connections have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The phases of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving; no shutdown has begun.
    Running,
    /// Serving new requests, and asking callers to close their connections.
    Draining,
    /// Finishing requests in flight, serving new ones that end in time, and closing idle connections.
    Closing,
    /// Aborting the requests that are still in flight with a final reply.
    Aborting,
}

/// Waits until the shutdown reaches a phase.
pub(crate) async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, awaited: Phase) {
    if phase.wait_for(|phase| *phase >= awaited).await.is_err() {
        // The sender was dropped, so no shutdown can follow.
        std::future::pending::<()>().await;
    }
}

/// Lets requests in flight finish, and aborts those that are left near the end of the grace period
/// with a final reply.
pub(crate) async fn shut_down(
    shared: &Shared,
    front: &Front,
    lease_manager: &Arc<LeaseManager>,
    phase: &watch::Sender<Phase>,
) {
    let cfg = &shared.cfg;
    let schedule = ShutdownSchedule::new(clock::now(), cfg.stop_grace, cfg.stop_redirect);
    let in_flight = || u32::try_from(shared.metrics.in_flight.get()).unwrap_or(0);
    emit(EventKind::Stopping {
        in_flight: in_flight(),
    });
    shared.tables().shutdown = Some(schedule);
    phase.send_replace(Phase::Draining);
    // The store may be unreachable, so releasing the lease must not delay the rest of the shutdown.
    let lease_manager = Arc::clone(lease_manager);
    tokio::spawn(async move { lease_manager.stop().await });
    tokio::time::sleep(schedule.admit_until.since(clock::now())).await;
    phase.send_replace(Phase::Closing);
    wait_for_connections(front, schedule.abort_at).await;
    phase.send_replace(Phase::Aborting);
    wait_for_connections(front, schedule.end_by).await;
    emit(EventKind::Stopped {
        cut_off: in_flight(),
    });
}

/// Waits until callers have no open connections, at most until `until`.
async fn wait_for_connections(front: &Front, until: Time) {
    while front.connections() > 0 && clock::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
