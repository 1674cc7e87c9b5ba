//! The controller's lease on one block of control work.
//!
//! The lease only avoids duplicate work of two controllers; safety doesn't depend on it. Writes of
//! a controller are safe because they are conditional updates, even if it has lost its lease and
//! hasn't detected that yet.

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

/// A conditional write of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeasePut {
    /// The value to write.
    pub lease: ControllerLease,
    /// The stored version that the write replaces.
    pub expected: Version,
}

/// One controller's view of the lease.
///
/// Times are readings of the controller's own monotonic clock.
#[derive(Debug)]
pub struct LeaseTable {
    me: ControllerId,
    incarnation: Incarnation,
    peer: SocketAddr,
    duration: Duration,
    /// The last read version and when it was first seen.
    last_seen: Option<(Version, Time)>,
    /// The number of the last written renewal and when that write started.
    written: Option<(u64, Time)>,
    /// When the lease expires, if it is held.
    held_until: Option<Time>,
}

impl LeaseTable {
    /// Creates the table of a controller that doesn't hold the lease.
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

    /// Sets the duration of the lease, once the configuration is known.
    pub fn set_duration(&mut self, duration: Duration) {
        self.duration = duration;
    }

    /// Returns the interval between refreshes: a quarter of the duration, which allows three tries
    /// before the lease expires.
    #[must_use]
    pub fn refresh_interval(&self) -> Duration {
        self.duration / 4
    }

    /// Returns whether this controller holds the lease.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Processes a read that completed at `now`. Returns the write to make, if any.
    ///
    /// The lease of another holder is taken over once its object hasn't changed for the duration
    /// of the lease.
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

    /// Processes the acknowledgement of the last write, which stored `version`.
    pub fn on_written(&mut self, now: Time, version: Version) {
        self.last_seen = Some((version, now));
        if let Some((renewal, _)) = self.written {
            self.confirm(renewal);
        }
    }

    /// Stops holding the lease. Returns the version of its object, if it was held.
    pub fn release(&mut self) -> Option<Version> {
        self.held_until.take()?;
        self.last_seen.map(|(version, _)| version)
    }

    /// Returns the next write and records when it started.
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

    /// Extends the lease after the renewal was found stored, by an acknowledgement or by a read.
    /// The lease counts from the start of the write, so both give the same end.
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
