//! Fencing on the server: checks the token of each request and the end of its grant against the
//! server's own clock.
//!
//! # Examples
//!
//! ```
//! use carawayrill_core::id::{Incarnation, ShardId};
//! use carawayrill_core::order::Order;
//! use carawayrill_core::ownership::server::{FenceTable, Refusal};
//! use carawayrill_core::time::ServerTime;
//! use carawayrill_core::token::Token;
//!
//! let shard: ShardId = "forms/0".parse()?;
//! let run = Incarnation(1);
//! let mut fence = FenceTable::new("forms-1".parse()?, run);
//! let grant = Order::Grant {
//!     shard: shard.clone(),
//!     token: Token::new(4, 1),
//!     until: ServerTime(1_500),
//!     home: "r1".parse()?,
//!     incarnation: run,
//! };
//! fence.apply(ServerTime(0), &[grant]);
//! assert_eq!(Ok(()), fence.check(ServerTime(1_499), &shard, Token::new(4, 1)));
//! assert_eq!(Err(Refusal::NoGrant), fence.check(ServerTime(1_500), &shard, Token::new(4, 1)));
//! assert_eq!(Err(Refusal::Fenced), fence.check(ServerTime(0), &shard, Token::new(4, 0)));
//! # Ok::<(), carawayrill_core::Error>(())
//! ```

use std::collections::BTreeMap;
use std::fmt;

use crate::id::Incarnation;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::order::HeldGrant;
use crate::order::LoadReport;
use crate::order::Order;
use crate::order::OrderAck;
use crate::order::OrderReply;
use crate::small_data;
use crate::time::ServerTime;
use crate::token::Epoch;
use crate::token::Term;
use crate::token::Token;

small_data! {
    /// The reason why a server refuses to run a request.
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// The server has seen a higher token for the shard.
        Fenced,
        /// The server has no grant with the request's token, or the grant has ended.
        NoGrant,
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fenced => "fenced",
            Self::NoGrant => "no-grant",
        })
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct ShardFence {
    /// The highest token seen. Lower tokens are refused permanently.
    highest: Token,
    /// Whether `highest` is refused too, because it was revoked or comes from a fence.
    closed: bool,
    /// The last grant, which may have ended.
    held: Option<HeldGrant>,
    /// Number of running requests.
    running: u32,
}

/// The grants and tokens that one incarnation of a server has received.
///
/// A server calls [`apply`](Self::apply) for each message of orders. It calls
/// [`start`](Self::start) directly before it runs a request, not when the request arrives, because
/// the process may have been paused in between. A restarted server creates a new table. Its new
/// incarnation shows homes that the state of the former one is lost.
#[derive(Debug, Clone)]
pub struct FenceTable {
    server: ServerId,
    incarnation: Incarnation,
    checking: bool,
    shards: BTreeMap<ShardId, ShardFence>,
}

impl FenceTable {
    /// Creates an empty table for a server that has just started as `incarnation`.
    #[must_use]
    pub fn new(server: ServerId, incarnation: Incarnation) -> Self {
        Self {
            server,
            incarnation,
            checking: true,
            shards: BTreeMap::new(),
        }
    }

    /// Sets whether the table checks tokens, the clock and the incarnation; on by default. Without
    /// these checks, the table accepts every request, like a server that does not implement
    /// fencing.
    #[must_use]
    pub fn checking(mut self, checking: bool) -> Self {
        self.checking = checking;
        self
    }

    /// Returns the incarnation that this table belongs to.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Applies the orders of one message in sequence. In the reply's `load`, only the number of
    /// running requests is set; the caller fills in the rest.
    pub fn apply(&mut self, now: ServerTime, orders: &[Order]) -> OrderReply {
        let acks = orders
            .iter()
            .map(|order| self.apply_order(now, order))
            .collect();
        OrderReply {
            server: self.server.clone(),
            incarnation: self.incarnation,
            clock: now,
            load: LoadReport {
                running: self.shards.values().map(|fence| fence.running).sum(),
                ..LoadReport::default()
            },
            acks,
        }
    }

    /// Checks whether a request with `token` may start to run at `now`.
    ///
    /// # Errors
    ///
    /// Fails with [`Refusal::Fenced`] if a higher token is known, and with [`Refusal::NoGrant`] if
    /// there is no grant with this token or it has ended.
    pub fn check(&self, now: ServerTime, shard: &ShardId, token: Token) -> Result<(), Refusal> {
        if !self.checking {
            return Ok(());
        }
        let fence = self.shards.get(shard).copied().unwrap_or_default();
        if token < fence.highest || (token == fence.highest && fence.closed) {
            return Err(Refusal::Fenced);
        }
        match fence.held {
            Some(held) if held.token == token && now < held.until => Ok(()),
            _ => Err(Refusal::NoGrant),
        }
    }

    /// Starts to run a request if [`check`](Self::check) permits it. The caller must call
    /// [`finish`](Self::finish) once for each success.
    ///
    /// # Errors
    ///
    /// The same as for [`check`](Self::check).
    pub fn start(&mut self, now: ServerTime, shard: &ShardId, token: Token) -> Result<(), Refusal> {
        self.check(now, shard, token)?;
        self.shards.entry(shard.clone()).or_default().running += 1;
        Ok(())
    }

    /// Records that a request has ended.
    pub fn finish(&mut self, shard: &ShardId) {
        if let Some(fence) = self.shards.get_mut(shard) {
            fence.running = fence.running.saturating_sub(1);
        }
    }

    /// Returns the token with which a request of the shard may start to run at `now`, if there is
    /// one.
    #[must_use]
    pub fn open_grant(&self, now: ServerTime, shard: &ShardId) -> Option<Token> {
        let held = self.shards.get(shard)?.held?;
        self.check(now, shard, held.token).ok().map(|()| held.token)
    }

    /// Returns the highest token seen for the shard.
    #[must_use]
    pub fn highest(&self, shard: &ShardId) -> Token {
        self.shards
            .get(shard)
            .map_or_else(Token::default, |fence| fence.highest)
    }

    /// Returns the shards for which the server has received an order or started a request.
    pub fn shards(&self) -> impl Iterator<Item = &ShardId> {
        self.shards.keys()
    }

    fn apply_order(&mut self, now: ServerTime, order: &Order) -> OrderAck {
        let shard = order.shard().clone();
        let own_incarnation = self.incarnation;
        let fence = self.shards.entry(shard.clone()).or_default();
        let accepted = match *order {
            Order::Grant {
                token,
                until,
                incarnation,
                ..
            } => {
                (incarnation == own_incarnation || !self.checking)
                    && fence.grant(HeldGrant { token, until })
            }
            Order::Revoke { token, .. } => fence.revoke(now, token),
            Order::Fence { term, .. } => fence.fence(now, term),
        };
        OrderAck {
            shard,
            accepted,
            highest: fence.highest,
            held: fence.held,
            running: fence.running,
        }
    }
}

impl ShardFence {
    /// Accepts or renews a grant. A renewal never shortens the grant, because renewals can arrive
    /// out of order.
    fn grant(&mut self, grant: HeldGrant) -> bool {
        if grant.token < self.highest || (grant.token == self.highest && self.closed) {
            return false;
        }
        let renewed = self.held.filter(|held| held.token == grant.token);
        let until = renewed.map_or(grant.until, |held| held.until.max(grant.until));
        self.highest = grant.token;
        self.closed = false;
        self.held = Some(HeldGrant { until, ..grant });
        true
    }

    /// Ends the grant with `token`, and refuses this token and all lower ones from now on.
    fn revoke(&mut self, now: ServerTime, token: Token) -> bool {
        if token < self.highest {
            return false;
        }
        self.close(now, token);
        true
    }

    /// Refuses all tokens of terms lower than `term`.
    fn fence(&mut self, now: ServerTime, term: Term) -> bool {
        let floor = Token {
            term,
            epoch: Epoch(0),
        };
        if floor > self.highest {
            self.close(now, floor);
        }
        self.highest.term == term
    }

    /// Ends the held grant immediately and raises the highest token to `token`, which is refused
    /// too.
    fn close(&mut self, now: ServerTime, token: Token) {
        self.highest = token;
        self.closed = true;
        if let Some(held) = &mut self.held {
            held.until = held.until.min(now);
        }
    }
}
