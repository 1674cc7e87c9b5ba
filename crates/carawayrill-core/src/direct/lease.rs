//! The granter's lease: one object in the store, renewed by conditional writes.
//!
//! The front that holds the lease is the granter. It holds it for a *term*, which begins
//! with a claim and ends for good when the lease runs out, is released or is taken by another front.
//! A renewal prolongs a term only if its result is known before the end of the term: whoever has seen
//! the end has stopped to act as the granter, and nobody would act for a term that came back.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::counter;
use crate::data;
use crate::direct::knowledge::StoredVersion;
use crate::direct::reach::PeerKey;
use crate::direct::reach::deserialize_key;
use crate::id::Era;
use crate::id::Version;
use crate::time::Time;

data! {
    /// The stored lease.
    pub struct Lease {
        /// The front that holds it.
        pub front: CompactString,
        /// The incarnation of that front, which distinguishes it from the front before a restart.
        pub run: u64,
        /// The address at which the holder serves the other fronts.
        pub address: SocketAddr,
        /// The validity of the lease after a renewal, in milliseconds.
        pub length_ms: u64,
        /// The number of renewals.
        pub renewals: u64,
        /// Whether the holder has released the lease.
        pub released: bool,
        /// The era of the store for which the lease was written. In a later era it is what an older
        /// copy of the store says, and another front may hold the lease.
        #[serde(default)]
        pub era: Era,
        /// The key with which fronts prove to each other that they are fronts. Records of older
        /// builds have none, and an older build that renews the lease drops it.
        #[serde(
            default,
            skip_serializing_if = "Option::is_none",
            deserialize_with = "deserialize_key"
        )]
        pub peer_key: Option<PeerKey>,
    }
}

impl Lease {
    /// Returns the validity of the lease after a renewal.
    #[must_use]
    pub fn length(&self) -> Duration {
        Duration::from_millis(self.length_ms)
    }
}

counter! {
    /// Identifies one term of a front, among those of its present incarnation.
    TermId;
}

/// An uninterrupted time for which a front holds the lease.
#[derive(Debug, Clone, Copy)]
struct Term {
    id: TermId,
    until: Time,
}

/// A conditional write that acquires, renews or releases the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The version that the stored object must have; 0 if there is no object yet.
    pub expected: StoredVersion,
    /// The new content.
    pub lease: Lease,
    /// The term that it prolongs; `None` if it begins one or releases the lease.
    pub renews: Option<TermId>,
}

/// One front's view of the lease.
#[derive(Debug)]
pub struct LeaseView {
    own: Lease,
    /// The number of renewals in the last claim. Each claim has a different number, so that a
    /// stored claim is never mistaken for a later one.
    last_claimed: u64,
    /// The stored lease and the time since which it has not changed, on this front's clock.
    observed: Option<(StoredVersion, Option<Lease>, Time)>,
    /// The term in which this front is the granter, unless it has ended.
    term: Option<Term>,
    /// The last term that began.
    last_term: TermId,
    /// Whether the whole system started for the first time with this front.
    first_start: bool,
    /// The era of the first observation.
    first_era: Option<Era>,
}

impl LeaseView {
    /// Creates the view of a front that has not read the lease. `own` is the content of its claims;
    /// at the `first_start` of the whole system no other front can hold a lease that is not stored.
    #[must_use]
    pub fn new(own: Lease, first_start: bool) -> Self {
        Self {
            own,
            first_start,
            first_era: None,
            last_claimed: 0,
            observed: None,
            term: None,
            last_term: TermId::default(),
        }
    }

    /// Sets the key that this front stores with its claims from now on.
    pub fn set_peer_key(&mut self, key: PeerKey) {
        self.own.peer_key = Some(key);
    }

    /// Returns the key of the last known lease and the version of that lease.
    #[must_use]
    pub fn peer_key(&self) -> Option<(&PeerKey, StoredVersion)> {
        let key = self.current()?.peer_key.as_ref()?;
        Some((key, self.version()))
    }

    /// Records a version that was read; `answered` is the time at which the response arrived. The
    /// holder may have renewed the lease until then.
    pub fn observe(&mut self, version: StoredVersion, lease: Option<Lease>, answered: Time) {
        self.first_era.get_or_insert(version.era);
        let is_known = self.observed.as_ref().is_some_and(|(observed, ..)| {
            let was_deleted = version.version.0 == 0 && observed.version.0 != 0;
            *observed >= version && !(was_deleted && observed.era == version.era)
        });
        if !is_known {
            self.observed = Some((version, lease, answered));
        }
    }

    /// Returns the lease as last read or written.
    #[must_use]
    pub fn current(&self) -> Option<&Lease> {
        self.observed
            .as_ref()
            .and_then(|(_, lease, _)| lease.as_ref())
    }

    /// Returns the version of the lease as last read or written.
    #[must_use]
    pub fn version(&self) -> StoredVersion {
        self.observed
            .as_ref()
            .map_or_else(StoredVersion::default, |(version, ..)| *version)
    }

    /// Returns whether the last known lease names this incarnation of this front.
    #[must_use]
    pub fn is_own(&self) -> bool {
        self.current()
            .is_some_and(|lease| lease.front == self.own.front && lease.run == self.own.run)
    }

    /// Returns the term in which this front may act as the granter. A term that has run out ends with
    /// this call at the latest.
    pub fn term(&mut self, now: Time) -> Option<TermId> {
        self.term = self.term.filter(|term| now < term.until);
        self.term.map(|term| term.id)
    }

    /// Returns whether this front may act as the granter.
    pub fn holds(&mut self, now: Time) -> bool {
        self.term(now).is_some()
    }

    /// Returns the write that acquires or renews the lease, if this front may claim it.
    ///
    /// Another front's lease may be claimed after it has not changed for its length or was
    /// released. A lease of an earlier incarnation of this front may always be claimed: that
    /// process has ended. After the store was restored from an older copy, the stored lease proves
    /// nothing: an unknown front may hold the lease, but not for longer than the length of a lease.
    /// Only the front that holds it may claim it before.
    #[must_use]
    pub fn claim(&mut self, now: Time) -> Option<Claim> {
        let term = self.term(now);
        let (version, lease, since) = self.observed.as_ref()?;
        let unchanged_for = now.since(*since);
        let free = match lease {
            None => self.is_first_era() || term.is_some() || unchanged_for > self.own.length(),
            Some(lease) if lease.era != version.era => {
                let length = lease.length().max(self.own.length());
                term.is_some() || unchanged_for > length
            }
            Some(lease) => {
                lease.front == self.own.front || lease.released || unchanged_for > lease.length()
            }
        };
        if !free {
            return None;
        }
        let expected = *version;
        let claim = self.next_claim(expected, false);
        Some(Claim {
            renews: term,
            ..claim
        })
    }

    /// Returns whether the store was not restored from an older copy since the first start of the
    /// whole system, so that an object that is not stored never was.
    #[must_use]
    pub fn is_first_era(&self) -> bool {
        let version = self.version();
        version.era == Era::default() || (self.first_start && self.first_era == Some(version.era))
    }

    fn next_claim(&mut self, expected: StoredVersion, released: bool) -> Claim {
        let stored = self.current().map_or(0, |lease| lease.renewals);
        self.last_claimed = stored.max(self.last_claimed) + 1;
        Claim {
            expected,
            renews: None,
            lease: Lease {
                renewals: self.last_claimed,
                released,
                era: expected.era,
                ..self.own.clone()
            },
        }
    }

    /// Returns the write that releases the lease, if this front holds it.
    #[must_use]
    pub fn release(&mut self) -> Option<Claim> {
        let expected = self.version();
        self.is_own().then(|| self.next_claim(expected, true))
    }

    /// Records at `now` that a claim was stored; `sent` is a time before the write was sent. Returns
    /// the term in which this front is the granter from now on.
    ///
    /// A renewal whose term has ended meanwhile belongs to no term. The stored lease keeps other
    /// fronts from claiming it for a while, and this front may claim it anew.
    pub fn claim_stored(
        &mut self,
        claim: Claim,
        version: Version,
        sent: Time,
        now: Time,
    ) -> Option<TermId> {
        let version = StoredVersion {
            era: claim.expected.era,
            version,
        };
        let present = self.term(now);
        let until = sent + claim.lease.length();
        self.term = if claim.lease.released {
            None
        } else if claim.renews == present {
            let id = present.unwrap_or_else(|| self.last_term.next());
            Some(Term { id, until })
        } else {
            self.term
        };
        if let Some(term) = self.term {
            self.last_term = term.id;
        }
        self.observed = Some((version, Some(claim.lease), sent));
        self.term(now)
    }

    /// Ends this front's role as the granter, because it releases the lease or another front holds it.
    pub fn end_term(&mut self) {
        self.term = None;
    }
}
