//! The table of known routers, and the choice of the relay of a data centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::RwLockWriteGuard;
use std::time::Duration;

use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::RouterId;
use carawayrill_core::object::Member;
use carawayrill_core::time::Time;

/// The table of known routers.
#[derive(Debug, Default)]
pub struct MemberTable {
    rows: RwLock<BTreeMap<RouterId, MemberRow>>,
}

#[derive(Debug)]
struct MemberRow {
    member: Arc<Member>,
    /// When the first of the failed calls since the last successful one ended; none after a success.
    silent_since: Option<Time>,
}

impl MemberTable {
    fn read(&self) -> RwLockReadGuard<'_, BTreeMap<RouterId, MemberRow>> {
        self.rows.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, BTreeMap<RouterId, MemberRow>> {
        self.rows.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Inserts a router, unless a later incarnation of it is known.
    pub fn put(&self, member: Member) {
        let mut rows = self.write();
        let known = rows.get(&member.router).map(|row| row.member.incarnation);
        if known.is_some_and(|incarnation| incarnation > member.incarnation) {
            return;
        }
        let silent_since = match known {
            Some(incarnation) if incarnation == member.incarnation => {
                rows.get(&member.router).and_then(|row| row.silent_since)
            }
            _ => None,
        };
        rows.insert(
            member.router.clone(),
            MemberRow {
                member: Arc::new(member),
                silent_since,
            },
        );
    }

    /// Removes a router.
    pub fn remove(&self, router: &RouterId) {
        self.write().remove(router);
    }

    /// Returns the registration of a router.
    #[must_use]
    pub fn get(&self, router: &RouterId) -> Option<Arc<Member>> {
        self.read().get(router).map(|row| Arc::clone(&row.member))
    }

    /// Returns the address for calls from other processes to a router.
    #[must_use]
    pub fn peer(&self, router: &RouterId) -> Option<SocketAddr> {
        self.read().get(router).map(|row| row.member.peer)
    }

    /// Returns all routers.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Member>> {
        self.read()
            .values()
            .map(|row| Arc::clone(&row.member))
            .collect()
    }

    /// Returns whether a router other than `router` could become the home of its servers, that is,
    /// whether one is not draining.
    #[must_use]
    pub fn has_successor(&self, router: &RouterId) -> bool {
        let rows = self.read();
        rows.values()
            .any(|row| row.member.router != *router && !row.member.draining)
    }

    /// Records whether a call to a router was answered.
    pub fn record_call(&self, router: &RouterId, answered: bool, now: Time) {
        if let Some(row) = self.write().get_mut(router) {
            row.silent_since = if answered {
                None
            } else {
                Some(row.silent_since.unwrap_or(now))
            };
        }
    }

    /// Returns the relay of a data centre: of its routers whose calls have not failed for `silence`,
    /// the one with the lowest name. Routers may disagree on the relay for a while, which only costs
    /// additional store calls.
    #[must_use]
    pub fn relay(&self, dc: &DataCentreId, now: Time, silence: Duration) -> Option<RouterId> {
        let is_responsive =
            |row: &&MemberRow| row.silent_since.is_none_or(|at| now.since(at) < silence);
        self.read()
            .values()
            .filter(|row| row.member.data_centre == *dc)
            .find(is_responsive)
            .map(|row| row.member.router.clone())
    }
}
