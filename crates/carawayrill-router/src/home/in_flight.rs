//! Counts the requests in flight for each shard, so that a move can wait for them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use carawayrill_core::id::ShardId;
use tokio::sync::Notify;

/// The number of requests in flight for each shard.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    counts: Mutex<HashMap<ShardId, u32>>,
    idle: Notify,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<InFlightRequests>,
    shard: ShardId,
}

impl InFlightRequests {
    fn lock(&self) -> MutexGuard<'_, HashMap<ShardId, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request of a shard until the returned guard is dropped.
    pub fn begin(self: &Arc<Self>, shard: &ShardId) -> InFlightGuard {
        *self.lock().entry(shard.clone()).or_default() += 1;
        InFlightGuard {
            in_flight: Arc::clone(self),
            shard: shard.clone(),
        }
    }

    /// Waits until no request of a shard is in flight.
    pub async fn wait_until_idle(&self, shard: &ShardId) {
        loop {
            let idle = self.idle.notified();
            if !self.lock().contains_key(shard) {
                return;
            }
            idle.await;
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.in_flight.lock();
        let left = counts.get_mut(&self.shard).map_or(0, |count| {
            *count -= 1;
            *count
        });
        if left == 0 {
            counts.remove(&self.shard);
            drop(counts);
            self.in_flight.idle.notify_waiters();
        }
    }
}
