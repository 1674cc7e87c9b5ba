//! Records the time in which shards are unavailable to this router's callers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::id::ShardId;
use carawayrill_core::measure::UnavailableTable;
use carawayrill_core::outcome::Outcome;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;

use crate::context::Context;
use crate::message::Answer;

/// The interval between two reports of the metrics.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Records the unavailable time of shards and reports it as metrics.
#[derive(Debug, Clone, Default)]
pub struct ShardUnavailability {
    table: Arc<Mutex<UnavailableTable>>,
}

impl ShardUnavailability {
    fn lock(&self) -> MutexGuard<'_, UnavailableTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the final answer to a request for `shard` that arrived at `started`. Refusals
    /// because of load or an invalid request don't count, as they don't show that the shard is
    /// unavailable.
    pub fn record(&self, shard: &ShardId, started: Time, now: Time, answer: &Answer) {
        if answer.outcome == Outcome::Done {
            self.lock().on_served(shard, now);
        } else if answer.reason.is_some_and(RefusalReason::is_transient) {
            self.lock().on_failed(shard, started);
        }
    }

    /// Sends metrics until the process ends. Metrics that can't be sent are dropped.
    pub async fn report(self, cx: Arc<Context>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let (open_outages, ended) = {
                let mut table = self.lock();
                (table.open_count(), table.take_ended())
            };
            let durations = ended
                .iter()
                .map(|outage| millis(outage.duration(Time::default())));
            let _lost = cx
                .metrics
                .gauge("entry.unavailable_shards", open_outages as u64);
            let _lost = cx
                .metrics
                .count("entry.unavailable_ms", durations.sum::<u64>());
        }
    }
}
