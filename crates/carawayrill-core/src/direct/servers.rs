//! The servers that the platform lists, and until when each may be used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::direct::keys::Born;
use crate::id::DataCentreId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::time::Time;

/// How long a server that vanished during an outage of the store is kept after the store was read
/// again: within this time the entries of living servers come back.
const RETENTION_AFTER_READ: Duration = Duration::from_millis(1_950);
/// How long it is kept at most after the start of the last call that failed. The outage may have
/// ended right after that, and a server that left meanwhile must not be used for long.
const MAX_RETENTION_AFTER_FAILURE: Duration = Duration::from_millis(2_800);

/// One server as listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// When this life of it began.
    pub born: Born,
    /// The service that it runs.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// Whether it announced that it will stop.
    pub draining: bool,
    /// How long it stays slow after its start, as of its last report.
    pub cold_for: Duration,
    /// The version of its software.
    pub software: CompactString,
}

/// A change of the table that callers of it have to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// A server is new, or began a new life.
    Added(ServerId),
    /// A server began to leave.
    Draining(ServerId),
    /// A server is gone from the list.
    Removed(ServerId),
}

/// The servers, by id.
#[derive(Debug, Default)]
pub struct Servers {
    rows: BTreeMap<ServerId, Server>,
    /// When each leaving server was first seen to leave.
    draining_since: BTreeMap<ServerId, Time>,
    /// Servers that vanished around an outage of the store, with the time until which they count.
    retained_until: BTreeMap<ServerId, Time>,
    /// When the last call to the store was sent, if it failed.
    failed_call_sent_at: Option<Time>,
    /// Until when a vanished entry may have lapsed because of an outage.
    retain_missing_until: Time,
}

impl Servers {
    /// Returns one server.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&Server> {
        self.rows.get(id)
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.rows.values()
    }

    /// Iterates over the servers of a service that take requests.
    pub fn ready_servers<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Server> {
        self.rows
            .values()
            .filter(move |server| server.service == *service && !server.draining)
    }

    /// Returns since when a server has been leaving.
    #[must_use]
    pub fn draining_since(&self, id: &ServerId) -> Option<Time> {
        self.draining_since.get(id).copied()
    }

    /// Takes in a listed server, as read at `now`.
    pub fn upsert(&mut self, server: Server, now: Time) -> Option<ServerChange> {
        self.retained_until.remove(&server.id);
        if server.draining {
            self.draining_since.entry(server.id.clone()).or_insert(now);
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

    /// Takes in that the platform removed a server.
    ///
    /// Around an outage of the store the server may be alive: its entry lapsed while it could not
    /// report. It is then kept for a while.
    pub fn handle_missing(&mut self, id: &ServerId, now: Time) -> Option<ServerChange> {
        if now < self.retain_missing_until && self.rows.contains_key(id) {
            self.retained_until
                .entry(id.clone())
                .or_insert(self.retain_missing_until);
            return None;
        }
        self.remove(id)
    }

    fn remove(&mut self, id: &ServerId) -> Option<ServerChange> {
        self.retained_until.remove(id);
        self.draining_since.remove(id);
        self.rows
            .remove(id)
            .map(|_| ServerChange::Removed(id.clone()))
    }

    /// Notes that a call to the store that was sent at `sent` has failed.
    pub fn mark_store_unreachable(&mut self, sent: Time) {
        self.failed_call_sent_at = Some(sent);
    }

    /// Notes that the store was read.
    pub fn mark_store_reachable(&mut self, now: Time) {
        if let Some(sent) = self.failed_call_sent_at.take() {
            self.retain_missing_until =
                (now + RETENTION_AFTER_READ).min(sent + MAX_RETENTION_AFTER_FAILURE);
        }
    }

    /// Takes in the whole list, as read at `now`.
    pub fn replace_all(&mut self, listed: Vec<Server>, now: Time) -> Vec<ServerChange> {
        self.mark_store_reachable(now);
        let missing: Vec<ServerId> = self
            .rows
            .keys()
            .filter(|id| !listed.iter().any(|server| server.id == **id))
            .cloned()
            .collect();
        let mut changes: Vec<ServerChange> = listed
            .into_iter()
            .filter_map(|server| self.upsert(server, now))
            .collect();
        changes.extend(missing.iter().filter_map(|id| self.handle_missing(id, now)));
        changes
    }

    /// Removes the servers whose time after an outage is over.
    pub fn expire(&mut self, now: Time) -> Vec<ServerChange> {
        let expired: Vec<ServerId> = self
            .retained_until
            .iter()
            .filter(|(_, until)| **until <= now && self.failed_call_sent_at.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        expired.iter().filter_map(|id| self.remove(id)).collect()
    }
}
