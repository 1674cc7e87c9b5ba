//! A simulated store whose conditional writes may be lost or executed late.

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::id::Era;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutResult {
    Done(Version),
    Conflict,
    NotDone,
    Unknown,
}

/// An object as read: its version and value.
#[derive(Debug, Clone, Default)]
pub struct Found {
    pub version: StoredVersion,
    pub value: String,
}

/// The error of a call that did not reach the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreUnreachable;

#[derive(Debug)]
struct DelayedWrite {
    at: Time,
    name: &'static str,
    value: String,
    expected: Version,
}

type Objects = BTreeMap<&'static str, (Version, String)>;

/// A copy of the store from which it can be restored.
#[derive(Debug)]
struct Copy {
    at: Time,
    objects: Objects,
    revision: u64,
}

#[derive(Debug, Default)]
pub struct Store {
    objects: Objects,
    revision: u64,
    pub era: Era,
    /// The states after each write of this era.
    copies: Vec<Copy>,
    delayed_writes: Vec<DelayedWrite>,
    /// The time until which each front can't reach the store.
    pub unreachable_until: [Time; 2],
    /// The time until which responses are lost.
    pub lossy_until: Time,
}

impl Store {
    pub fn step(&mut self, now: Time) {
        let (due, rest) = std::mem::take(&mut self.delayed_writes)
            .into_iter()
            .partition(|write| write.at <= now);
        self.delayed_writes = rest;
        let due: Vec<DelayedWrite> = due;
        for write in due {
            let _written = self.write(write.name, write.value, write.expected, now);
        }
    }

    /// Restores the state at `at` and starts a new era. Revisions since then are given out again.
    pub fn restore(&mut self, at: Time) {
        self.copies.retain(|copy| copy.at <= at);
        let (objects, revision) = self
            .copies
            .last()
            .map(|copy| (copy.objects.clone(), copy.revision))
            .unwrap_or_default();
        self.objects = objects;
        self.revision = revision;
        self.era = self.era.next();
    }

    fn write(
        &mut self,
        name: &'static str,
        value: String,
        expected: Version,
        now: Time,
    ) -> PutResult {
        let found = self
            .objects
            .get(name)
            .map_or(Version(0), |(version, _)| *version);
        if found != expected {
            return PutResult::Conflict;
        }
        self.revision += 1;
        self.objects.insert(name, (Version(self.revision), value));
        self.copies.push(Copy {
            at: now,
            objects: self.objects.clone(),
            revision: self.revision,
        });
        PutResult::Done(Version(self.revision))
    }

    /// Reads an object; version 0 means that there is none. Fails if the store is unreachable.
    pub fn get(&self, front: usize, name: &str, now: Time) -> Result<Found, StoreUnreachable> {
        if self.unreachable_until[front] > now {
            return Err(StoreUnreachable);
        }
        let (version, value) = self.objects.get(name).cloned().unwrap_or_default();
        let version = StoredVersion {
            era: self.era,
            version,
        };
        Ok(Found { version, value })
    }

    pub fn put(
        &mut self,
        front: usize,
        name: &'static str,
        value: String,
        expected: StoredVersion,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> PutResult {
        if self.unreachable_until[front] > now {
            return PutResult::NotDone;
        }
        if expected.era != self.era {
            // The response tells that the condition was of another era.
            return match self.write(name, value, expected.version, now) {
                PutResult::Done(_) => PutResult::Unknown,
                result => result,
            };
        }
        let expected = expected.version;
        if self.lossy_until <= now || rng.random_bool(0.6) {
            return self.write(name, value, expected, now);
        }
        if rng.random_bool(0.5) {
            let _written = self.write(name, value, expected, now);
        } else {
            self.delayed_writes.push(DelayedWrite {
                at: now + Duration::from_millis(rng.random_range(1_000..=6_000)),
                name,
                value,
                expected,
            });
        }
        PutResult::Unknown
    }
}
