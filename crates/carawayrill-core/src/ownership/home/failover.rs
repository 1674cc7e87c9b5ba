//! Failure detection of servers and routers, and failover of a shard to its standby server.

use super::HomeTable;
use super::message::Action;
use super::shard::ServerIncarnation;
use super::shard::ShardRow;
use crate::event::EventKind;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::ownership::evidence::RouterIncarnation;
use crate::ownership::limits::add_ms;
use crate::ownership::limits::elapsed;
use crate::time::Time;
use crate::time::millis;

/// The state of another router.
#[derive(Debug)]
pub(super) struct Peer {
    /// The latest incarnation seen.
    incarnation: Option<Incarnation>,
    /// Time of the last heartbeat, or of the start of monitoring if there was none.
    last_heartbeat: Time,
}

impl HomeTable {
    /// Excludes a pause of this process from the silence of servers and peers, because their
    /// messages may still be unread.
    pub(super) fn discount_own_pause(&mut self, now: Time) {
        let gap = self
            .last_tick
            .map_or(0, |last_tick| elapsed(now, last_tick));
        self.last_tick = Some(now);
        if gap <= self.limits.server_silence.min(self.limits.router_silence) / 2 {
            return;
        }
        for server in self.servers.values_mut() {
            server.last_reply = add_ms(server.last_reply, gap).min(now);
        }
        for peer in self.peers.values_mut() {
            peer.last_heartbeat = add_ms(peer.last_heartbeat, gap).min(now);
        }
    }

    /// Starts to monitor a router.
    pub(super) fn watch_peer(&mut self, now: Time, router: &RouterId) {
        if !self.peers.contains_key(router) {
            let peer = Peer {
                incarnation: None,
                last_heartbeat: now,
            };
            self.peers.insert(router.clone(), peer);
        }
    }

    /// Records a router's heartbeat.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Time,
        from: &RouterId,
        incarnation: Incarnation,
    ) {
        self.watch_peer(now, from);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_heartbeat = peer.last_heartbeat.max(now);
            peer.incarnation = peer.incarnation.max(Some(incarnation));
        }
    }

    /// Returns whether an incarnation of a home is suspected to have failed. Silence counts from
    /// `first_read` at the earliest, the time when the assignment was first read, because the
    /// router may have been down before it became home.
    pub(super) fn is_suspected(
        &self,
        now: Time,
        home: &RouterIncarnation,
        first_read: Time,
    ) -> bool {
        self.peers.get(&home.router).is_some_and(|peer| {
            let replaced = peer
                .incarnation
                .is_some_and(|latest| latest > home.incarnation);
            replaced
                || elapsed(now, peer.last_heartbeat.max(first_read)) > self.limits.router_silence
        })
    }

    /// Updates which servers are suspected or confirmed to have failed.
    pub(super) fn update_lost_servers(&mut self, now: Time) {
        let limit = self.limits.server_silence;
        let mut found = Vec::new();
        for (id, server) in &mut self.servers {
            let lost = server.gone || server.silence_ms(now) > limit;
            if lost && !server.lost {
                found.push((id.clone(), server.silence_ms(now)));
            }
            server.lost = lost;
        }
        for (id, silent_ms) in found {
            self.mark_rows_dirty(&id);
            if let Ok(peer) = NodeId::try_from(id.as_str()) {
                self.emit(EventKind::Suspected { peer, silent_ms });
            }
        }
    }

    /// Returns the server that may replace a failed owner now.
    pub(super) fn successor(&self, now: Time, row: &ShardRow) -> Option<ServerId> {
        self.candidate(now, row).filter(|_| !row.pledged)
    }

    /// Returns the server that could replace a failed owner, disregarding a pledge.
    pub(super) fn candidate(&self, now: Time, row: &ShardRow) -> Option<ServerId> {
        if !row.is_live() || row.blocked {
            return None;
        }
        let owner = self.servers.get(&row.serving)?;
        // A restarted owner can't become trusted while the store can't be read.
        let untrusted = owner.incarnation.is_some() && !self.is_trusted(row, &row.serving);
        let stuck =
            untrusted && elapsed(now, owner.incarnation_seen_at) > self.limits.server_silence;
        let owner_unusable = (owner.lost && (owner.gone || self.has_fencing(row))) || stuck;
        let other = row.other(&row.serving)?;
        let known = self.servers.get(other)?;
        let other_usable =
            !known.lost && !known.leaving && !known.draining && self.is_trusted(row, other);
        (owner_unusable && other_usable).then(|| other.clone())
    }

    /// Replaces a failed owner once its grants have ended.
    pub(super) fn fail_over(&mut self, now: Time, shard: &ShardId) {
        let Some(row) = self.rows.get(shard) else {
            return;
        };
        let Some(next) = self.successor(now, row) else {
            return;
        };
        let lost = row.serving.clone();
        let gone = self.servers.get(&lost).is_some_and(|known| known.gone);
        let fencing = self.has_fencing(row);
        let waits = self.mechanisms.wait_for_grant_end && !gone;
        let authority = self.has_authority(now, row);
        let token = row.token;
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        if !authority || (waits && !row.grants_ended(now, fencing, None)) {
            return;
        }
        if gone {
            row.grants.retain(|id, _| id.server != lost);
        }
        row.serving = next;
        row.token = token.next_epoch();
        self.emit(EventKind::Revoked {
            shard: shard.clone(),
            server: lost,
            token,
        });
    }

    /// Ends this router's role permanently, because a higher term exists.
    pub(super) fn supersede(&mut self, now: Time, shard: &ShardId) {
        let Some(row) = self.rows.get_mut(shard) else {
            return;
        };
        let first = !row.ended;
        row.ended = true;
        let block = row.block.clone();
        if row.stop() {
            self.actions.push(Action::Quiesce {
                shard: shard.clone(),
            });
        }
        if first {
            self.emit(EventKind::AuthorityLost {
                shard: shard.clone(),
                reason: "a higher term is known".into(),
            });
            self.request_read(now, &block);
        }
    }

    /// Updates `had_authority`, and reports authority that has expired.
    pub(super) fn update_authority(&mut self, now: Time, shard: &ShardId) {
        let Some(row) = self.rows.get(shard) else {
            return;
        };
        let has_authority = row.is_live() && self.has_authority(now, row);
        let lost = row.had_authority && !has_authority && row.is_live();
        if let Some(row) = self.rows.get_mut(shard) {
            row.had_authority = has_authority;
        }
        if lost {
            self.emit(EventKind::AuthorityLost {
                shard: shard.clone(),
                reason: "the last read of the store is too old".into(),
            });
        }
    }

    /// Reports the end of authority for a row that this router no longer has a role in.
    pub(super) fn emit_authority_end(&mut self, row: &ShardRow, reason: &str) {
        if row.is_live() {
            self.emit(EventKind::AuthorityLost {
                shard: row.stored.shard.clone(),
                reason: reason.into(),
            });
        }
    }

    /// Returns the time until the last grant of a row that may still be valid has ended, in
    /// milliseconds.
    pub(super) fn grant_left_ms(&self, now: Time, row: &ShardRow) -> u64 {
        let fencing = self.has_fencing(row);
        let open = row
            .grants
            .values()
            .filter(|grant| !grant.has_ended(now, fencing));
        open.map(|grant| millis(grant.possible_end.since(now)).max(1))
            .max()
            .unwrap_or(0)
    }

    /// Returns the current incarnation of the current owner.
    pub(super) fn serving_incarnation(&self, row: &ShardRow) -> Option<ServerIncarnation> {
        let incarnation = self.servers.get(&row.serving)?.incarnation?;
        Some(ServerIncarnation {
            server: row.serving.clone(),
            incarnation,
        })
    }
}
