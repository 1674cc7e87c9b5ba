//! One log line for each request, at a limited rate.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use carawayrill_core::event::EventKind;
use carawayrill_core::event::RequestRecord;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_telemetry::emit;
use compact_str::CompactString;

use crate::clock;
use crate::forward::Reply;
use crate::port::RequestMetadata;
use crate::state::Shared;

/// The maximum number of request log lines per second.
const MAX_LOG_LINES_PER_SECOND: u64 = 400;

/// Limits the rate of request log lines.
#[derive(Debug, Default)]
pub(crate) struct LogLineLimiter {
    second: AtomicU64,
    written: AtomicU64,
}

impl LogLineLimiter {
    /// Returns whether one more line may be logged now.
    fn allow(&self, now: Time) -> bool {
        let second = now.0 / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        self.written.fetch_add(1, Ordering::Relaxed) < MAX_LOG_LINES_PER_SECOND
    }
}

/// The access log entry of one request. It is also written if the caller disconnects.
#[derive(Debug)]
pub(crate) struct AccessLogEntry<'a> {
    shared: &'a Shared,
    limiter: &'a LogLineLimiter,
    pub(crate) received: Time,
    pub(crate) record: RequestRecord,
    ended: bool,
}

impl<'a> AccessLogEntry<'a> {
    /// Begins the entry of a request that arrived at `received`.
    pub(crate) fn new(
        shared: &'a Shared,
        limiter: &'a LogLineLimiter,
        received: Time,
        metadata: &RequestMetadata,
    ) -> Self {
        Self {
            shared,
            limiter,
            received,
            record: RequestRecord {
                request: metadata.id.clone().unwrap_or_default(),
                route: CompactString::default(),
                service: CompactString::default(),
                key: None,
                content: CompactString::default(),
                manifest: 0,
                servers_age_ms: None,
                status: 0,
                reason: "caller-left".into(),
                limit_ms: metadata.timeout.map_or(0, millis),
                took_ms: 0,
                waited_ms: 0,
                retry_after_ms: None,
                tries: Vec::new(),
                believed: None,
                retry: None,
                unproven_sends: None,
            },
            ended: false,
        }
    }

    /// Writes the entry of a request that ends with `reply`.
    pub(crate) fn end(&mut self, reply: &Reply) {
        self.record.status = reply.status.as_u16();
        self.record.reason = reply.reason.into();
        self.record.retry_after_ms = reply.retry_after.map(millis);
        self.finish();
    }

    fn finish(&mut self) {
        self.ended = true;
        let now = clock::now();
        let took = now.since(self.received);
        self.record.took_ms = millis(took);
        let metrics = &self.shared.metrics;
        metrics.record_request(&self.record.reason, took);
        metrics.in_flight.dec();
        if self.limiter.allow(now) {
            emit(EventKind::Request(Box::new(self.record.clone())));
        } else {
            metrics.dropped_log_lines.inc();
        }
    }
}

impl Drop for AccessLogEntry<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.finish();
        }
    }
}
