//! The lease over one block of control work.
//!
//! The lease keeps two controllers from doing the same work twice; it is no safety device. What a
//! controller writes is safe by conditional updates alone, also when it has lost its lease
//! without knowing.

use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_core::id::ControllerId;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::Version;
use carawayrill_core::object::ControllerLease;
use carawayrill_core::time::Time;

/// The lease as last read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRead {
    /// The version of the object.
    pub version: Version,
    /// Its value.
    pub lease: ControllerLease,
}

/// What to write after a read of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeasePut {
    /// The value to write.
    pub lease: ControllerLease,
    /// The version to expect.
    pub expected: Version,
}

/// One controller's view of the lease.
///
/// Time is the controller's own monotonic clock.
#[derive(Debug)]
pub struct LeaseTable {
    me: ControllerId,
    incarnation: Incarnation,
    peer: SocketAddr,
    duration: Duration,
    /// The version read last and when it was first seen.
    last_seen: Option<(Version, Time)>,
    /// The renewal written last and when its write began.
    written: Option<(u64, Time)>,
    /// The end of the lease, if it is held.
    held_until: Option<Time>,
}

impl LeaseTable {
    /// Makes the table of a controller that holds nothing yet.
    #[must_use]
    pub fn new(
        me: ControllerId,
        incarnation: Incarnation,
        peer: SocketAddr,
        duration: Duration,
    ) -> Self {
        Self {
            me,
            incarnation,
            peer,
            duration,
            last_seen: None,
            written: None,
            held_until: None,
        }
    }

    /// Sets the length of the lease, once the configuration is known.
    pub fn set_duration(&mut self, duration: Duration) {
        self.duration = duration;
    }

    /// Returns how often the lease is to be read and written: three tries fit in its length.
    #[must_use]
    pub fn refresh_interval(&self) -> Duration {
        self.duration / 4
    }

    /// Tells whether this controller holds the lease.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Takes in a read that ended at `now`, and decides what to write, if anything.
    pub fn on_read(&mut self, now: Time, read: Option<LeaseRead>) -> Option<LeasePut> {
        let Some(LeaseRead { version, lease }) = read else {
            self.held_until = None;
            return Some(self.put(now, 0, Version(0)));
        };
        if self
            .last_seen
            .is_none_or(|(last_seen, _)| last_seen != version)
        {
            self.last_seen = Some((version, now));
        }
        if self.is_own(&lease) {
            self.confirm(lease.renewal);
            return Some(self.put(now, lease.renewal, version));
        }
        self.held_until = None;
        let unchanged = self
            .last_seen
            .map_or(Duration::ZERO, |(_, at)| now.since(at));
        (unchanged >= self.duration).then(|| self.put(now, lease.renewal, version))
    }

    /// Takes in that the write of `put` was acknowledged with the new `version`.
    pub fn on_written(&mut self, now: Time, version: Version) {
        self.last_seen = Some((version, now));
        if let Some((renewal, _)) = self.written {
            self.confirm(renewal);
        }
    }

    /// Ends to hold the lease. Returns the version of its object, if it was held.
    pub fn release(&mut self) -> Option<Version> {
        self.held_until.take()?;
        self.last_seen.map(|(version, _)| version)
    }

    /// Makes the next value and notes when its write began.
    fn put(&mut self, now: Time, renewal: u64, expected: Version) -> LeasePut {
        let renewal = renewal + 1;
        self.written = Some((renewal, now));
        LeasePut {
            lease: ControllerLease {
                holder: self.me.clone(),
                incarnation: self.incarnation,
                peer: self.peer,
                renewal,
            },
            expected,
        }
    }

    /// Notes that the renewal stands in the store. It counts from when its write began, which is
    /// also how a write whose answer was lost is settled by the next read.
    fn confirm(&mut self, renewal: u64) {
        if let Some((written, started)) = self.written
            && written == renewal
        {
            self.held_until = Some(started + self.duration);
        }
    }

    fn is_own(&self, lease: &ControllerLease) -> bool {
        lease.holder == self.me && lease.incarnation == self.incarnation
    }
}
