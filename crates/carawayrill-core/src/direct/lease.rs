//! The granter's lease: one object in the store, renewed under its version.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::data;
use crate::id::Version;
use crate::time::Time;

data! {
    /// The lease as stored.
    pub struct Lease {
        /// The front that holds it.
        pub front: CompactString,
        /// The run of that front, so that a restarted one is told from its former self.
        pub run: u64,
        /// Where the holder serves other fronts.
        pub address: SocketAddr,
        /// How long it holds after a renewal, in milliseconds.
        pub length_ms: u64,
        /// Counts the renewals.
        pub renewals: u64,
        /// Whether the holder gave it up.
        pub released: bool,
    }
}

impl Lease {
    /// Returns how long it holds after a renewal.
    #[must_use]
    pub fn length(&self) -> Duration {
        Duration::from_millis(self.length_ms)
    }
}

/// What a front wants to write to the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The version that must not have changed; 0 if there is no object yet.
    pub expected: Version,
    /// The new content.
    pub lease: Lease,
}

/// One front's knowledge of the lease.
#[derive(Debug)]
pub struct LeaseView {
    own: Lease,
    /// The count of renewals in the last claim. Each claim has a count of its own, so that one
    /// that is found stored is never taken for a later one.
    last_claimed: u64,
    /// The stored lease and since when it has stood unchanged, by this front's clock.
    observed: Option<(Version, Option<Lease>, Time)>,
    /// Until when this front is the granter.
    held_until: Time,
}

impl LeaseView {
    /// Makes the view of a front that knows nothing. `own` is what it writes if it claims.
    #[must_use]
    pub fn new(own: Lease) -> Self {
        Self {
            own,
            last_claimed: 0,
            observed: None,
            held_until: Time::default(),
        }
    }

    /// Takes in what was read; `sent` is when the call that returned it was sent.
    pub fn observe(&mut self, version: Version, lease: Option<Lease>, sent: Time) {
        if self
            .observed
            .as_ref()
            .is_some_and(|(observed, ..)| *observed >= version && version.0 != 0)
        {
            return;
        }
        self.observed = Some((version, lease, sent));
    }

    /// Returns the lease as last seen.
    #[must_use]
    pub fn current(&self) -> Option<&Lease> {
        self.observed
            .as_ref()
            .and_then(|(_, lease, _)| lease.as_ref())
    }

    /// Returns the version as last seen.
    #[must_use]
    pub fn version(&self) -> Version {
        self.observed
            .as_ref()
            .map_or(Version(0), |(version, ..)| *version)
    }

    /// Returns whether the lease as last seen names this run of this front.
    #[must_use]
    pub fn is_own(&self) -> bool {
        self.current()
            .is_some_and(|lease| lease.front == self.own.front && lease.run == self.own.run)
    }

    /// Returns whether this front may act as the granter.
    #[must_use]
    pub fn holds(&self, now: Time) -> bool {
        now < self.held_until
    }

    /// Returns what to write to become or remain the granter, if that is allowed.
    ///
    /// Another's lease may be taken once it has stood unchanged for its length, once it was given
    /// up, or if it names an earlier run of this front, which is gone.
    #[must_use]
    pub fn claim(&mut self, now: Time) -> Option<Claim> {
        let (version, lease, since) = self.observed.as_ref()?;
        let free = match lease {
            None => true,
            Some(lease) => {
                lease.front == self.own.front
                    || lease.released
                    || now.since(*since) > lease.length()
            }
        };
        if !free {
            return None;
        }
        let expected = *version;
        Some(self.next_claim(expected, false))
    }

    fn next_claim(&mut self, expected: Version, released: bool) -> Claim {
        let stored = self.current().map_or(0, |lease| lease.renewals);
        self.last_claimed = stored.max(self.last_claimed) + 1;
        Claim {
            expected,
            lease: Lease {
                renewals: self.last_claimed,
                released,
                ..self.own.clone()
            },
        }
    }

    /// Returns what to write to give the lease up.
    #[must_use]
    pub fn release(&mut self) -> Option<Claim> {
        let expected = self.version();
        self.is_own().then(|| self.next_claim(expected, true))
    }

    /// Takes in that a claim was written; `sent` is the time before its call was sent.
    pub fn claim_stored(&mut self, claim: Claim, version: Version, sent: Time) {
        self.held_until = if claim.lease.released {
            Time::default()
        } else {
            sent + claim.lease.length()
        };
        self.observed = Some((version, Some(claim.lease), sent));
    }

    /// Gives up authority: another front holds the lease.
    pub fn step_down(&mut self) {
        self.held_until = Time::default();
    }
}
