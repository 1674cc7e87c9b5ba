//! Requests of each shard that were given out and not answered yet.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use carawayrill_core::id::ShardId;
use tokio::sync::Notify;

/// Counts requests in flight a shard.
#[derive(Debug, Default)]
pub struct Flights {
    counts: Mutex<HashMap<ShardId, u32>>,
    landed: Notify,
}

/// One request in flight, until it is dropped.
#[derive(Debug)]
pub struct Flight {
    flights: Arc<Flights>,
    shard: ShardId,
}

impl Flights {
    fn lock(&self) -> MutexGuard<'_, HashMap<ShardId, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts one more request of a shard.
    pub fn begin(self: &Arc<Self>, shard: &ShardId) -> Flight {
        *self.lock().entry(shard.clone()).or_default() += 1;
        Flight {
            flights: Arc::clone(self),
            shard: shard.clone(),
        }
    }

    /// Waits until no request of a shard is in flight.
    pub async fn wait_for_none(&self, shard: &ShardId) {
        loop {
            let landed = self.landed.notified();
            if !self.lock().contains_key(shard) {
                return;
            }
            landed.await;
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut counts = self.flights.lock();
        let left = counts.get_mut(&self.shard).map_or(0, |count| {
            *count -= 1;
            *count
        });
        if left == 0 {
            counts.remove(&self.shard);
            drop(counts);
            self.flights.landed.notify_waiters();
        }
    }
}
