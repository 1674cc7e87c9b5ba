//! The table of servers that the platform lists, including those it retains after a store outage.

mod entry;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use self::entry::EntryPosition;
pub use self::entry::Freshness;
pub use self::entry::Server;
use crate::direct::incarnation::Born;
use crate::direct::incarnation::IncarnationOrder;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::time::Time;

/// How long a server whose entry disappeared during a store outage is retained after the store is
/// readable again. Running servers write their entries again within this time.
const RETENTION_AFTER_READ: Duration = Duration::from_millis(1_950);
/// The longest retention, counted from the start of the last failed call. The outage may have ended
/// right after that call, and a server that stopped in the meantime must not be used for long.
const MAX_RETENTION_AFTER_FAILURE: Duration = Duration::from_millis(2_800);

/// How long a removed incarnation of a server is remembered. A store that comes back from an older
/// copy may list it again.
const REMOVED_TTL: Duration = Duration::from_mins(1);

/// A change of the server table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// A server is new or has restarted.
    Added(ServerId),
    /// A server began to drain.
    Draining(ServerId),
    /// A server was removed.
    Removed(ServerId),
}

/// The table of listed servers, by id.
#[derive(Debug, Default)]
pub struct Servers {
    rows: BTreeMap<ServerId, Server>,
    /// When each draining server was first listed as draining.
    draining_since: BTreeMap<ServerId, Time>,
    /// Servers whose entries disappeared around a store outage, and how long they are retained.
    retained_until: BTreeMap<ServerId, Time>,
    /// When the last call to the store was sent, if that call failed.
    failed_call_sent_at: Option<Time>,
    /// The end of the retention: until then, an entry may be missing because of an outage.
    retain_missing_until: Time,
    /// The shortest outage of the store in which the entry of a running server can expire.
    min_lapse: Duration,
    /// The incarnations that have said that they leave. None of them becomes ready again, whatever
    /// an older copy of the store says.
    leaving: BTreeMap<ServerId, Born>,
    /// The servers of which only their responses, not their entries, say that they leave.
    announced: BTreeSet<ServerId>,
    /// The incarnations that were removed, and when.
    removed: BTreeMap<ServerId, RemovedServer>,
    /// Entries of incarnations that have ended, as far as is known, and until when they are not used.
    /// The known incarnation, if it runs, writes its entry again within that time; the entry of one
    /// that has ended expires.
    suspects: BTreeMap<ServerId, Suspect>,
    /// The time after which the entry of a server that has ended is no longer listed.
    entry_expiry: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RemovedServer {
    position: EntryPosition,
    at: Time,
}

#[derive(Debug, Clone)]
struct Suspect {
    server: Server,
    until: Time,
}

impl Servers {
    /// Creates an empty table. `min_lapse` is the shortest outage of the store in which the entry of
    /// a running server can expire: after a shorter one, a missing entry was removed on purpose. After
    /// `entry_expiry` the entry of a server that has ended is no longer listed.
    #[must_use]
    pub fn new(min_lapse: Duration, entry_expiry: Duration) -> Self {
        Self {
            min_lapse,
            entry_expiry,
            ..Self::default()
        }
    }

    /// Returns the entry of a server.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.rows.get(id)
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.rows.values()
    }

    /// Iterates over the servers of a service that accept new requests: those not draining.
    pub fn ready_servers<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Server> {
        self.rows
            .values()
            .filter(move |server| server.service == *service && !server.draining)
    }

    /// Returns the time since which a server has been draining.
    #[must_use]
    pub fn draining_since(&self, id: &ServerId) -> Option<Time> {
        self.draining_since.get(id).copied()
    }

    /// Returns what an entry says, compared with what is known of its server.
    #[must_use]
    pub fn freshness(&self, entry: &Server) -> Freshness {
        let position = EntryPosition::from(entry);
        if let Some(known) = self.rows.get(&entry.id) {
            return position.freshness(known.into());
        }
        let suspect = self.suspects.get(&entry.id);
        if suspect.is_some_and(|suspect| position == EntryPosition::from(&suspect.server)) {
            return Freshness::Former;
        }
        let removed = self.removed.get(&entry.id);
        match removed.map(|removed| position.freshness(removed.position)) {
            Some(Freshness::Outdated | Freshness::Former) => Freshness::Former,
            Some(Freshness::Current) | None => Freshness::Current,
        }
    }

    /// Handles the entry of a listed server that was read at `now`. The server was not draining
    /// before `since`, as far as is known, so the drain time counts from then.
    ///
    /// An entry that the server has replaced changes nothing. One of a former incarnation is used only
    /// if it is still listed when the known incarnation would have written its entry again: then that
    /// one has ended, and the start times are out of order because a clock was set back.
    pub fn upsert(&mut self, server: Server, now: Time, since: Time) -> Option<ServerChange> {
        match self.freshness(&server) {
            Freshness::Current => self.apply(server, since),
            Freshness::Outdated => None,
            Freshness::Former => {
                self.suspect(server, now);
                None
            }
        }
    }

    /// Remembers an entry that may be of an incarnation that has ended.
    fn suspect(&mut self, server: Server, now: Time) {
        let known = self.suspects.get(&server.id);
        let until = known
            .filter(|known| known.server.born == server.born)
            .map_or(now + self.entry_expiry, |known| known.until);
        let id = server.id.clone();
        self.suspects.insert(id, Suspect { server, until });
    }

    /// Inserts or updates the entry of a listed server.
    fn apply(&mut self, mut server: Server, since: Time) -> Option<ServerChange> {
        self.retained_until.remove(&server.id);
        self.suspects.remove(&server.id);
        self.removed.remove(&server.id);
        let is_known_to_leave = self.leaving.get(&server.id) == Some(&server.born);
        if server.draining || !is_known_to_leave {
            self.announced.remove(&server.id);
        }
        server.draining |= is_known_to_leave;
        if server.draining {
            self.leaving.insert(server.id.clone(), server.born);
            self.draining_since
                .entry(server.id.clone())
                .or_insert(since);
        } else {
            self.draining_since.remove(&server.id);
        }
        let id = server.id.clone();
        let draining = server.draining;
        let born = server.born;
        match self.rows.insert(id.clone(), server) {
            None => Some(ServerChange::Added(id)),
            Some(old) if old.born != born => Some(ServerChange::Added(id)),
            Some(old) if draining && !old.draining => Some(ServerChange::Draining(id)),
            Some(_) => None,
        }
    }

    /// Records that an incarnation of a server has said at `now` that it leaves, other than in its
    /// entry. It counts as draining from then on, also if its entry is older.
    pub fn mark_leaving(&mut self, id: &ServerId, born: Born, now: Time) -> Option<ServerChange> {
        let server = self.rows.get(id).filter(|server| server.born == born)?;
        if server.draining {
            return None;
        }
        let server = server.clone();
        self.leaving.insert(id.clone(), born);
        self.announced.insert(id.clone());
        self.apply(server, now)
    }

    /// Iterates over the servers that have said in responses that they leave, and whose entries don't
    /// say so yet.
    pub fn announced_leaving(&self) -> impl Iterator<Item = &Server> {
        self.announced.iter().filter_map(|id| self.rows.get(id))
    }

    /// Handles a server whose entry is missing from the platform's list.
    ///
    /// Around a store outage the server may still be running: its entry expired because it could
    /// not renew it. It is then retained for a limited time. Otherwise it is removed.
    pub fn handle_missing(&mut self, id: &ServerId, now: Time) -> Option<ServerChange> {
        self.suspects.remove(id);
        if now < self.retain_missing_until && self.rows.contains_key(id) {
            self.retained_until
                .entry(id.clone())
                .or_insert(self.retain_missing_until);
            return None;
        }
        self.remove(id, now)
    }

    fn remove(&mut self, id: &ServerId, now: Time) -> Option<ServerChange> {
        self.retained_until.remove(id);
        self.draining_since.remove(id);
        self.announced.remove(id);
        let server = self.rows.remove(id)?;
        let removed = RemovedServer {
            position: EntryPosition::from(&server),
            at: now,
        };
        self.removed.insert(id.clone(), removed);
        Some(ServerChange::Removed(id.clone()))
    }

    /// Iterates over the servers that are retained although their entries are missing.
    pub fn retained(&self) -> impl Iterator<Item = &ServerId> {
        self.retained_until.keys()
    }

    /// Returns for how long entries that are missing are still retained.
    #[must_use]
    pub fn retention_left(&self, now: Time) -> Duration {
        self.retain_missing_until.since(now)
    }

    /// Retains missing entries until `until`, because another front has noticed a store outage.
    pub fn retain_missing(&mut self, until: Time) {
        self.retain_missing_until = self.retain_missing_until.max(until);
    }

    /// Records that a call to the store that was sent at `sent` has failed.
    pub fn mark_store_unreachable(&mut self, sent: Time) {
        self.failed_call_sent_at = Some(sent);
    }

    /// Records that the store was read. The list was last known to be complete at `complete_at`.
    pub fn mark_store_reachable(&mut self, now: Time, complete_at: Time) {
        let Some(sent) = self.failed_call_sent_at.take() else {
            return;
        };
        if now.since(complete_at) >= self.min_lapse {
            self.retain_missing_until =
                (now + RETENTION_AFTER_READ).min(sent + MAX_RETENTION_AFTER_FAILURE);
        }
    }

    /// Records that the list was known to be complete at `confirmed`, by whatever way, and before
    /// that at `complete_at`. Calls of this front that were sent and failed before say nothing about
    /// the store any more.
    pub fn confirm(&mut self, confirmed: Time, now: Time, complete_at: Time) {
        if self
            .failed_call_sent_at
            .is_some_and(|sent| sent < confirmed)
        {
            self.mark_store_reachable(now, complete_at);
        }
    }

    /// Replaces the table by the complete list that was read at `now`. The table was last known to be
    /// complete at `complete_at`, so that the drain time of servers counts from then.
    pub fn replace_all(
        &mut self,
        listed: Vec<Server>,
        now: Time,
        complete_at: Time,
    ) -> Vec<ServerChange> {
        self.mark_store_reachable(now, complete_at);
        let missing: Vec<ServerId> = self
            .rows
            .keys()
            .filter(|id| !listed.iter().any(|server| server.id == **id))
            .cloned()
            .collect();
        let mut changes: Vec<ServerChange> = listed
            .into_iter()
            .filter_map(|server| self.upsert(server, now, complete_at))
            .collect();
        self.removed
            .retain(|_, removed| now.since(removed.at) < REMOVED_TTL);
        self.forget_removed_leaving();
        changes.extend(missing.iter().filter_map(|id| self.handle_missing(id, now)));
        changes
    }

    /// Drops what is known of leaving incarnations that were removed long ago.
    fn forget_removed_leaving(&mut self) {
        let (rows, removed) = (&self.rows, &self.removed);
        self.leaving
            .retain(|id, _| rows.contains_key(id) || removed.contains_key(id));
    }

    /// Replaces the table by the complete list that was read at `now` from a store that was
    /// restored from an older copy.
    ///
    /// Entries of running servers may be missing until these write them again, as after an outage.
    /// Entries of servers that were removed may be listed again, and entries of former incarnations
    /// in place of the present ones, which go on and may hold keys. All these are suspected to be of
    /// servers that have ended.
    pub fn replace_all_restored(
        &mut self,
        listed: Vec<Server>,
        now: Time,
        complete_at: Time,
    ) -> Vec<ServerChange> {
        self.retain_missing(now + RETENTION_AFTER_READ);
        let (suspects, listed): (Vec<Server>, Vec<Server>) =
            listed.into_iter().partition(|server| {
                let removed = self.removed.get(&server.id);
                let was_removed = removed.is_some_and(|removed| {
                    let relation = server.born.relative_to(removed.position.born);
                    relation == IncarnationOrder::Same
                });
                was_removed || self.freshness(server) == Freshness::Former
            });
        self.suspects.clear();
        let changes = self.replace_all(listed, now, complete_at);
        for server in suspects {
            self.suspect(server, now);
        }
        changes
    }

    /// Inserts the servers that are still listed after they were suspected to have ended.
    fn accept_suspects(&mut self, now: Time) -> Vec<ServerChange> {
        let accepted: Vec<Server> = self
            .suspects
            .values()
            .filter(|suspect| suspect.until <= now)
            .map(|suspect| suspect.server.clone())
            .collect();
        accepted
            .into_iter()
            .filter_map(|server| self.apply(server, now))
            .collect()
    }

    /// Removes the servers whose retention after an outage has ended, and inserts those that are
    /// still listed after they were suspected to have ended.
    pub fn expire(&mut self, now: Time) -> Vec<ServerChange> {
        let expired: Vec<ServerId> = self
            .retained_until
            .iter()
            .filter(|(_, until)| **until <= now && self.failed_call_sent_at.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        let mut changes: Vec<ServerChange> = expired
            .iter()
            .filter_map(|id| self.remove(id, now))
            .collect();
        changes.extend(self.accept_suspects(now));
        changes
    }
}
