//! The table of servers that the platform lists, including those it retains after a store outage.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::direct::keys::Born;
use crate::id::DataCentreId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::time::Time;

/// How long a server whose entry disappeared during a store outage is retained after the store is
/// readable again. Running servers write their entries again within this time.
const RETENTION_AFTER_READ: Duration = Duration::from_millis(1_950);
/// The longest retention, counted from the start of the last failed call. The outage may have ended
/// right after that call, and a server that stopped in the meantime must not be used for long.
const MAX_RETENTION_AFTER_FAILURE: Duration = Duration::from_millis(2_800);

/// A server's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// The start time that identifies this incarnation.
    pub born: Born,
    /// The service that it runs.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it has announced that it will stop.
    pub draining: bool,
    /// The remaining warm-up time, as of its last report. The server is slow until then.
    pub cold_for: Duration,
    /// The version of its software.
    pub software: CompactString,
}

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
}

impl Servers {
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

    /// Inserts or updates the entry of a listed server that was read at `now`.
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

    /// Handles a server whose entry is missing from the platform's list.
    ///
    /// Around a store outage the server may still be running: its entry expired because it could
    /// not renew it. It is then retained for a limited time. Otherwise it is removed.
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

    /// Records that a call to the store that was sent at `sent` has failed.
    pub fn mark_store_unreachable(&mut self, sent: Time) {
        self.failed_call_sent_at = Some(sent);
    }

    /// Records that the store was read.
    pub fn mark_store_reachable(&mut self, now: Time) {
        if let Some(sent) = self.failed_call_sent_at.take() {
            self.retain_missing_until =
                (now + RETENTION_AFTER_READ).min(sent + MAX_RETENTION_AFTER_FAILURE);
        }
    }

    /// Replaces the table by the complete list that was read at `now`.
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

    /// Removes the servers whose retention after an outage has ended.
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
