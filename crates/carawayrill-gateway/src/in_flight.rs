//! Counts requests in flight towards the load of their servers.

use std::sync::Arc;
use std::time::Duration;

use carawayrill_core::direct::load::AttemptResult;
use carawayrill_core::direct::load::LoadReport;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;

use crate::clock;
use crate::state::Shared;

/// A request that counts towards the load of a server until it is ended or dropped.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
    server: ServerId,
    service: ServiceId,
    sent: Time,
    total_at_send: f64,
    ended: bool,
}

impl InFlight {
    /// Counts a request that is about to be sent to a server.
    #[must_use]
    pub fn begin(shared: &Arc<Shared>, server: &Server) -> Self {
        let now = clock::now();
        let mut tables = shared.tables();
        let load = tables.load(server, now);
        let total_at_send = load.expected_total(now);
        load.begin_request();
        tables.limits.record_sent(&server.id, now);
        drop(tables);
        Self {
            shared: Arc::clone(shared),
            server: server.id.clone(),
            service: server.service.clone(),
            sent: now,
            total_at_send,
            ended: false,
        }
    }

    /// Returns the expected number of requests at the server before this one was sent.
    #[must_use]
    pub fn total_at_send(&self) -> f64 {
        self.total_at_send
    }

    /// Records the outcome of the request.
    pub fn end(mut self, outcome: AttemptResult, report: Option<LoadReport>) {
        self.finish(outcome, report);
    }

    fn finish(&mut self, outcome: AttemptResult, report: Option<LoadReport>) {
        self.ended = true;
        let now = clock::now();
        let took = Duration::from_millis(millis(now.since(self.sent)));
        let mut tables = self.shared.tables();
        if let Some(load) = tables.loads.get_mut(&self.server) {
            if let Some(pace) = report.and_then(|report| report.pace) {
                load.record_pace(now, pace);
            }
            load.end_request(now, outcome, took, self.total_at_send);
            if let Some(report) = report {
                load.apply_report(now, report);
            }
        }
        if let Some(report) = report.filter(|_| outcome == AttemptResult::Served) {
            tables.borne_queues.record(&self.service, report);
        }
        drop(tables);
        self.shared.waiting.wake_up();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(AttemptResult::Unknown, None);
        }
    }
}
