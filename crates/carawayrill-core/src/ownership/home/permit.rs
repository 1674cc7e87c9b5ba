//! The checks of each request: when it arrives, and again directly before it is sent.

use super::HomeTable;
use super::message::Denial;
use super::message::Permit;
use super::shard::ShardRow;
use crate::id::Incarnation;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::time::Time;

/// A router's view of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerStatus<'a> {
    /// The server.
    pub server: &'a ServerId,
    /// The latest incarnation that has replied, if there is one.
    pub incarnation: Option<Incarnation>,
    /// Whether the server is suspected or confirmed to have failed.
    pub lost: bool,
    /// Whether the server is being removed or has asked for no new work.
    pub draining: bool,
}

impl HomeTable {
    /// Chooses the server and the token for a request that has just arrived.
    ///
    /// # Errors
    ///
    /// Fails with the reason why no request of the shard may be sent now.
    pub fn permit(&self, now: Time, shard: &ShardId) -> Result<Permit, Denial> {
        let row = self.rows.get(shard);
        let row = row.ok_or(Denial::NotHome { home: None })?;
        let latest = self.sendable_until(now, row)?;
        Ok(Permit {
            shard: shard.clone(),
            server: row.serving.clone(),
            token: row.token,
            via: self.via(row),
            latest,
        })
    }

    /// Checks a permit directly before the request is written to the server.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the request may not be sent any more. The caller may get a new
    /// permit for a request that was not written.
    pub fn confirm(&self, now: Time, permit: &Permit) -> Result<(), Denial> {
        if !self.mechanisms.check_before_send {
            return Ok(());
        }
        let row = self.rows.get(&permit.shard);
        let row = row.ok_or(Denial::NotHome { home: None })?;
        self.sendable_until(now, row)?;
        if row.token != permit.token || row.serving != permit.server {
            return Err(Denial::Changed);
        }
        Ok(())
    }

    /// Returns the state of the servers of this router's shards.
    pub fn servers(&self) -> impl Iterator<Item = ServerStatus<'_>> {
        self.servers.iter().map(|(server, known)| ServerStatus {
            server,
            incarnation: known.incarnation,
            lost: known.lost,
            draining: known.draining || known.leaving,
        })
    }

    /// Returns the time until which requests of a row may be sent.
    fn sendable_until(&self, now: Time, row: &ShardRow) -> Result<Time, Denial> {
        if !row.acting {
            let home = Some(row.stored.home.clone());
            return Err(Denial::NotHome { home });
        }
        if row.ended {
            let home = row.stored.standby_home.clone();
            return Err(Denial::NotHome { home });
        }
        if row.stopping.is_some() {
            return Err(Denial::Moving);
        }
        let deadline = self.deadline(row).ok_or(Denial::NoAuthority)?;
        if now >= deadline {
            return Err(Denial::NoAuthority);
        }
        let owner = self.servers.get(&row.serving).ok_or(Denial::NoGrant)?;
        let grant = self
            .serving_incarnation(row)
            .and_then(|id| row.grants.get(&id));
        // A suspected owner without a successor still gets requests until its grant ends.
        let replaced = owner.lost && self.successor(now, row).is_some();
        let grant = grant.filter(|grant| grant.token == row.token && !replaced);
        let end = grant.and_then(|grant| grant.certain_end);
        match end {
            Some(end) if now < end => Ok(end.min(deadline)),
            _ => Err(Denial::NoGrant),
        }
    }

    /// Returns the router that must send the request because it counts the server's used slots.
    /// Returns `None` for a server without fencing, because only the check of this router before
    /// the send protects it. Also returns `None` if the counting router is the home that this
    /// router took over from, because no other router counts the slots then.
    fn via(&self, row: &ShardRow) -> Option<crate::id::RouterId> {
        let home = self.servers.get(&row.serving)?.home.as_ref()?;
        let is_other = *home != self.me.router && *home != row.stored.home;
        (is_other && self.has_fencing(row)).then(|| home.clone())
    }
}
