//! Unavailable time: how long requests of a shard were not answered by its owner.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::data;
use crate::id::ShardId;
use crate::time::Time;
use crate::time::millis;

data! {
    /// One time span in which a shard was not served.
    pub struct Outage {
        /// The shard.
        pub shard: ShardId,
        /// When the first failed request was sent.
        pub began: Time,
        /// When the next request was answered; `None` while the outage is ongoing.
        pub ended: Option<Time>,
    }
}

/// The outages of all shards.
///
/// A shard is unavailable from the time when a failed request was sent until a later request is
/// answered. All times are of one clock.
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
    /// Records that a request of `shard`, sent at `at`, was not answered by the owner.
    pub fn on_failed(&mut self, shard: &ShardId, at: Time) {
        self.open.entry(shard.clone()).or_insert(at);
    }

    /// Records that a request of `shard` was answered by the owner at `at`.
    pub fn on_served(&mut self, shard: &ShardId, at: Time) {
        let Some(began) = self.open.get(shard).copied() else {
            return;
        };
        // A response that arrived before the failed request was sent does not end the outage.
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

    /// Removes and returns the outages that have ended, so that the table of a long-lived process
    /// stays small.
    pub fn take_ended(&mut self) -> Vec<Outage> {
        std::mem::take(&mut self.closed)
    }

    /// Returns the number of shards with an ongoing outage.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Iterates over all outages, the ongoing ones last.
    pub fn outages(&self) -> impl Iterator<Item = Outage> {
        let open = self.open.iter().map(|(shard, began)| Outage {
            shard: shard.clone(),
            began: *began,
            ended: None,
        });
        self.closed.iter().cloned().chain(open)
    }

    /// Returns the duration of the longest outage. Ongoing ones count until `now`.
    #[must_use]
    pub fn longest(&self, now: Time) -> Duration {
        let spans = self.outages().map(|outage| outage.duration(now));
        spans.max().unwrap_or_default()
    }

    /// Returns the sum of the durations of all outages, in milliseconds. Ongoing ones count until
    /// `now`.
    #[must_use]
    pub fn total_ms(&self, now: Time) -> u64 {
        self.outages()
            .map(|outage| millis(outage.duration(now)))
            .sum()
    }
}

impl Outage {
    /// Returns the duration of the outage, or its duration until `now` if it is ongoing.
    #[must_use]
    pub fn duration(&self, now: Time) -> Duration {
        self.ended.unwrap_or(now).since(self.began)
    }
}
