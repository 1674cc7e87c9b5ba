//! Unavailable time of shards, as this router's callers see it.

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

/// How often metrics are sent.
const EVERY: Duration = Duration::from_secs(1);

/// The unavailable time of shards.
#[derive(Debug, Clone, Default)]
pub struct Unavailable {
    table: Arc<Mutex<UnavailableTable>>,
}

impl Unavailable {
    fn lock(&self) -> MutexGuard<'_, UnavailableTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in the final answer to a request of `shard` that arrived at `started`. Refusals for
    /// load or for the request's own fault say nothing about the shard.
    pub fn note(&self, shard: &ShardId, started: Time, now: Time, answer: &Answer) {
        if answer.outcome == Outcome::Done {
            self.lock().on_served(shard, now);
        } else if answer.reason.is_some_and(RefusalReason::is_transient) {
            self.lock().on_failed(shard, started);
        }
    }

    /// Sends metrics for as long as the process runs. Metrics that can't be sent are lost.
    pub async fn report(self, cx: Arc<Context>) {
        loop {
            tokio::time::sleep(EVERY).await;
            let (open, ended) = {
                let mut table = self.lock();
                (table.open(), table.take_ended())
            };
            let spans = ended
                .iter()
                .map(|outage| millis(outage.span(Time::default())));
            let _lost = cx.metrics.gauge("entry.unavailable_shards", open as u64);
            let _lost = cx.metrics.count("entry.unavailable_ms", spans.sum::<u64>());
        }
    }
}
