//! Unavailable time: how long a shard's requests got no answer of its owner.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::data;
use crate::id::ShardId;
use crate::time::Time;
use crate::time::millis;

data! {
    /// One span in which a shard was not served.
    pub struct Outage {
        /// The shard.
        pub shard: ShardId,
        /// When its first request failed.
        pub began: Time,
        /// When the next request after that was answered; `None` while that has not happened.
        pub ended: Option<Time>,
    }
}

/// The outages of all shards.
///
/// A shard is unavailable from when a request that failed was sent until a later request is
/// answered. Requests are taken in by the time they were sent or answered, on one clock.
///
/// # Examples
///
/// ```
/// use carawayrill_core::measure::UnavailableTable;
/// use carawayrill_core::time::Time;
///
/// let mut table = UnavailableTable::default();
/// let shard = "forms/0".parse()?;
/// table.on_failed(&shard, Time(100));
/// table.on_failed(&shard, Time(300));
/// table.on_served(&shard, Time(900));
/// assert_eq!(table.total_ms(Time(1_000)), 800);
/// # Ok::<(), carawayrill_core::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct UnavailableTable {
    open: BTreeMap<ShardId, Time>,
    closed: Vec<Outage>,
}

impl UnavailableTable {
    /// Takes in that a request of `shard`, sent at `at`, was not answered by its owner.
    pub fn on_failed(&mut self, shard: &ShardId, at: Time) {
        self.open.entry(shard.clone()).or_insert(at);
    }

    /// Takes in that a request of `shard` was answered by its owner at `at`.
    pub fn on_served(&mut self, shard: &ShardId, at: Time) {
        let Some(began) = self.open.get(shard).copied() else {
            return;
        };
        // An answer from before the failure says nothing about the time after it.
        if at <= began {
            return;
        }
        self.open.remove(shard);
        self.closed.push(Outage {
            shard: shard.clone(),
            began,
            ended: Some(at),
        });
    }

    /// Takes out the outages that have ended, so that the table of a long-lived process stays small.
    pub fn take_ended(&mut self) -> Vec<Outage> {
        std::mem::take(&mut self.closed)
    }

    /// Returns how many shards are not served.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Lists all outages, those that go on last.
    pub fn outages(&self) -> impl Iterator<Item = Outage> {
        let open = self.open.iter().map(|(shard, began)| Outage {
            shard: shard.clone(),
            began: *began,
            ended: None,
        });
        self.closed.iter().cloned().chain(open)
    }

    /// Returns the longest outage until `now`.
    #[must_use]
    pub fn longest(&self, now: Time) -> Duration {
        let spans = self.outages().map(|outage| outage.duration(now));
        spans.max().unwrap_or_default()
    }

    /// Returns the sum of all outages until `now`, in milliseconds of shards.
    #[must_use]
    pub fn total_ms(&self, now: Time) -> u64 {
        self.outages()
            .map(|outage| millis(outage.duration(now)))
            .sum()
    }
}

impl Outage {
    /// Returns how long it took, or has taken until `now`.
    #[must_use]
    pub fn duration(&self, now: Time) -> Duration {
        self.ended.unwrap_or(now).since(self.began)
    }
}
