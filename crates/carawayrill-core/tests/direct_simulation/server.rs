//! A simulated server that holds keys under fences.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;

use super::checked_keys;

/// The distance between the addresses of two incarnations of a server.
const ADDRESS_STEP: u16 = 20;

#[derive(Debug, Clone, Copy, Default)]
struct Held {
    fence: Fence,
    until: Time,
    /// Whether the key was released under this fence.
    released: bool,
}

/// The result of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    Held,
    Expired,
    Fenced,
}

#[derive(Debug, Clone)]
pub struct SimServer {
    pub id: ServerId,
    pub address: SocketAddr,
    pub up: bool,
    pub is_listed: bool,
    pub draining: bool,
    /// The factor by which this server's clock is slow.
    pub slowness: f64,
    pub born: Born,
    /// The last entry of the former incarnation, and when the store lists it.
    late_entry: Option<(Server, Range<Time>)>,
    /// The grant of each checked key.
    held: Vec<Held>,
    /// The highest fence of each checked key, including former incarnations.
    highest_ever: Vec<Fence>,
}

impl SimServer {
    pub fn new(id: &ServerId, number: u32) -> Self {
        let count = checked_keys().count();
        Self {
            id: id.clone(),
            address: format!("127.0.0.1:{}", 2_000 + number)
                .parse()
                .expect("valid address"),
            up: true,
            is_listed: true,
            draining: false,
            slowness: if number.is_multiple_of(2) { 1.02 } else { 1.0 },
            born: Born(1),
            late_entry: None,
            held: vec![Held::default(); count],
            highest_ever: vec![Fence(0); count],
        }
    }

    /// Returns the entry that the store lists.
    pub fn listed(&self, now: Time) -> Option<Server> {
        let late = self.late_entry.as_ref();
        if let Some((entry, _)) = late.filter(|(_, listed)| listed.contains(&now)) {
            return Some(entry.clone());
        }
        (self.up && self.is_listed).then(|| self.entry())
    }

    fn entry(&self) -> Server {
        Server {
            id: self.id.clone(),
            born: self.born,
            sequence: 1,
            service: "forms".parse().expect("valid name"),
            address: self.address,
            data_centre: "a".parse().expect("valid name"),
            slots: 6,
            draining: self.draining,
            cold_for: Duration::ZERO,
            software: "v1".into(),
        }
    }

    /// Gives the incarnation that has just started an address of its own. The store lists the last
    /// entry of the former one at `late`.
    pub fn restart_elsewhere(&mut self, late: Range<Time>) {
        let former = Server {
            born: Born(self.born.0 - 1),
            ..self.entry()
        };
        self.late_entry = Some((former, late));
        let port = self.address.port() + ADDRESS_STEP;
        self.address.set_port(port);
    }

    fn indices(range: KeyRange) -> impl Iterator<Item = usize> {
        checked_keys()
            .enumerate()
            .filter(move |(_, key)| range.contains(*key))
            .map(|(at, _)| at)
    }

    /// Accepts a grant unless one of its keys has a higher fence or the grant has expired.
    pub fn grant(&mut self, range: KeyRange, fence: Fence, until: Time, now: Time) -> GrantOutcome {
        if Self::indices(range).any(|at| self.held[at].fence > fence) {
            return GrantOutcome::Fenced;
        }
        if until <= now {
            return GrantOutcome::Expired;
        }
        for at in Self::indices(range) {
            let held = &mut self.held[at];
            let same = held.fence == fence && !held.released;
            let until = if same { held.until.max(until) } else { until };
            self.held[at] = Held {
                fence,
                until,
                released: false,
            };
            self.highest_ever[at] = self.highest_ever[at].max(fence);
        }
        GrantOutcome::Held
    }

    pub fn release(&mut self, range: KeyRange, fence: Fence) {
        for at in Self::indices(range) {
            if self.held[at].fence <= fence {
                self.held[at].until = Time(0);
                self.held[at].released = true;
            }
        }
    }

    /// Returns whether this server holds the checked key with index `at`.
    pub fn holds(&self, at: usize, now: Time) -> bool {
        self.held[at].until > now
    }

    pub fn highest(&self, range: KeyRange) -> Fence {
        Self::indices(range)
            .map(|at| self.highest_ever[at])
            .max()
            .unwrap_or_default()
    }

    /// Ends this incarnation. With `restarts`, the next one starts at once.
    pub fn crash(&mut self, restarts: bool) {
        self.up = restarts;
        self.is_listed = restarts;
        self.born = Born(self.born.0 + 1);
        self.held.fill(Held::default());
    }
}
