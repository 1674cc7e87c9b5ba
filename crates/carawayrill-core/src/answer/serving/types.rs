//! Inputs, actions and rows of [`ServingState`](crate::answer::serving::ServingState).

use std::time::Duration;

use compact_str::CompactString;

use crate::answer::claims::ClaimKey;
use crate::answer::claims::Fingerprint;
use crate::answer::reply::Reply;
use crate::id::RequestId;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::time::Time;
use crate::token::Token;

/// Number of claims that one tick scans for expiry.
pub(super) const CLAIM_SCAN_PER_TICK: usize = 1_000;

/// The claim that a request needs because it must not run twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key of the claim.
    pub key: ClaimKey,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// How long the claim is kept after the request has ended.
    pub window: Duration,
}

/// A request that reached its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The request.
    pub request: RequestId,
    /// The shard of its key.
    pub shard: ShardId,
    /// The caller, the unit of fairness.
    pub caller: CompactString,
    /// When its answer is due.
    pub deadline: Time,
    /// The server that owns the shard.
    pub server: ServerId,
    /// Set if the request must not run twice.
    pub claim: Option<ClaimRequest>,
}

/// An action that the router has to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Copy the claim to the standby home, then call
    /// [`ServingState::mirror_result`](crate::answer::serving::ServingState::mirror_result).
    Mirror(RequestId, RouterId, ClaimKey),
    /// Copy the current state of a claim to the standby home. No request waits for the result.
    Update(RouterId, ClaimKey),
    /// Check the authority, call
    /// [`ServingState::mark_sending`](crate::answer::serving::ServingState::mark_sending),
    /// then write the request to the server.
    Send(RequestId, ServerId),
    /// Cancel the request at the server, then call
    /// [`ServingState::cancelled`](crate::answer::serving::ServingState::cancelled).
    Cancel(RequestId, ServerId),
    /// Give the request its final answer.
    Reply(RequestId, Reply),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The claim is being copied to the standby home.
    Mirroring,
    /// The request waits for a slot.
    Queued,
    /// The request has a slot.
    HasSlot,
}

#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) shard: ShardId,
    pub(super) caller: CompactString,
    pub(super) deadline: Time,
    pub(super) server: ServerId,
    pub(super) claim: Option<ClaimKey>,
    pub(super) phase: Phase,
}

/// A request whose caller has its final answer while its server may still run it.
#[derive(Debug, Clone)]
pub(super) struct AbandonedRequest {
    pub(super) server: ServerId,
    pub(super) token: Token,
    pub(super) claim: Option<ClaimKey>,
    /// Time after which no late answer is expected.
    pub(super) until: Time,
}

/// Limits on the requests of a home.
///
/// # Examples
///
/// ```
/// use carawayrill_core::answer::serving::ServingConfig;
///
/// let cfg = ServingConfig::default().max_in_flight(1_000);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct ServingConfig {
    pub(super) in_flight: usize,
    pub(super) waiting: u32,
}

impl Default for ServingConfig {
    fn default() -> Self {
        Self {
            in_flight: 20_000,
            waiting: 10_000,
        }
    }
}

impl ServingConfig {
    /// Sets the maximum number of requests in flight. 20,000 by default.
    #[must_use]
    pub fn max_in_flight(mut self, requests: usize) -> Self {
        self.in_flight = requests;
        self
    }

    /// Sets the maximum number of requests that wait for a slot of any server. 10,000 by default.
    #[must_use]
    pub fn max_waiting(mut self, requests: u32) -> Self {
        self.waiting = requests;
        self
    }
}
