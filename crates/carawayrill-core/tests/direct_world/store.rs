//! The store: conditional writes that may be lost or carried out late.

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    Done(Version),
    Conflict,
    NotDone,
    Unknown,
}

/// An object as read: its version and value.
pub type Found = (Version, String);

/// The store was not reached.
#[derive(Debug, Clone, Copy)]
pub struct NotReached;

#[derive(Debug)]
struct Late {
    at: Time,
    name: &'static str,
    value: String,
    expected: Version,
}

#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<&'static str, (Version, String)>,
    revision: u64,
    late: Vec<Late>,
    /// Until when each front can't reach it.
    pub away_until: [Time; 2],
    /// Until when answers are lost.
    pub lossy_until: Time,
}

impl Store {
    pub fn step(&mut self, now: Time) {
        let (due, rest) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.at <= now);
        self.late = rest;
        let due: Vec<Late> = due;
        for late in due {
            let _written = self.write(late.name, late.value, late.expected);
        }
    }

    fn write(&mut self, name: &'static str, value: String, expected: Version) -> Written {
        let found = self
            .objects
            .get(name)
            .map_or(Version(0), |(version, _)| *version);
        if found != expected {
            return Written::Conflict;
        }
        self.revision += 1;
        self.objects.insert(name, (Version(self.revision), value));
        Written::Done(Version(self.revision))
    }

    /// Reads an object; version 0 stands for none. Fails if the store is not reached.
    pub fn get(&self, front: usize, name: &str, now: Time) -> Result<Found, NotReached> {
        if self.away_until[front] > now {
            return Err(NotReached);
        }
        Ok(self.objects.get(name).cloned().unwrap_or_default())
    }

    pub fn put(
        &mut self,
        front: usize,
        name: &'static str,
        value: String,
        expected: Version,
        now: Time,
        rng: &mut ChaCha8Rng,
    ) -> Written {
        if self.away_until[front] > now {
            return Written::NotDone;
        }
        if self.lossy_until <= now || rng.random_bool(0.6) {
            return self.write(name, value, expected);
        }
        if rng.random_bool(0.5) {
            let _written = self.write(name, value, expected);
        } else {
            self.late.push(Late {
                at: now + Duration::from_millis(rng.random_range(1_000..=6_000)),
                name,
                value,
                expected,
            });
        }
        Written::Unknown
    }
}
