//! The fronts that take requests for those that are cut off.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::admission::Distance;
use crate::id::DataCentreId;
use crate::time::Time;

/// The number of peers that a front is told of.
const MAX_PEERS: usize = 4;
/// The number of these that may stand in the same data centre, which may be cut off as a whole.
const MAX_SAME_DATA_CENTRE: usize = 2;
/// How long a peer that was not reached is passed over.
const PEER_BACKOFF: Duration = Duration::from_millis(500);

/// Another front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub front: CompactString,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// Chooses the peers of a front among the fronts that reach the servers: near ones first, and not
/// the same for all fronts.
#[must_use]
pub fn choose_peers<'a>(
    front: &str,
    others: impl Iterator<Item = &'a Peer>,
    distance: impl Fn(&DataCentreId) -> Distance,
) -> Vec<Peer> {
    let mut ranked: Vec<_> = others
        .filter(|peer| peer.front != front)
        .map(|peer| (distance(&peer.data_centre), pair_hash(front, peer), peer))
        .collect();
    ranked.sort_by_key(|(distance, hash, _)| (*distance, *hash));
    let near = ranked
        .iter()
        .filter(|(distance, ..)| *distance == Distance::SameDataCentre)
        .take(MAX_SAME_DATA_CENTRE);
    let far = ranked
        .iter()
        .filter(|(distance, ..)| *distance != Distance::SameDataCentre);
    let mut chosen: Vec<Peer> = near
        .chain(far)
        .take(MAX_PEERS)
        .map(|(.., peer)| (*peer).clone())
        .collect();
    // All fronts may stand in one data centre.
    for (.., peer) in &ranked {
        if chosen.len() < MAX_PEERS && !chosen.contains(peer) {
            chosen.push((*peer).clone());
        }
    }
    chosen
}

fn pair_hash(front: &str, peer: &Peer) -> u64 {
    xxh3_64(format!("{front} {}", peer.front).as_bytes())
}

/// The peers of one front, and which of them were not reached lately.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: Vec<(Peer, Time)>,
}

impl PeerTable {
    /// Replaces the peers.
    pub fn set(&mut self, peers: Vec<Peer>) {
        self.peers = peers
            .into_iter()
            .map(|peer| (peer, Time::default()))
            .collect();
    }

    /// Returns whether no other front is known to reach the servers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns whether a front is one of the peers.
    #[must_use]
    pub fn contains(&self, front: &str) -> bool {
        self.peers.iter().any(|(peer, _)| peer.front == front)
    }

    /// Chooses a peer for a request that was not passed on to any of `tried` before. Requests are
    /// spread over all peers, since one might not bear them.
    pub fn choose(&self, tried: &[CompactString], now: Time, rng: &mut impl Rng) -> Option<Peer> {
        let usable: Vec<&Peer> = self
            .peers
            .iter()
            .filter(|(peer, backoff_until)| *backoff_until <= now && !tried.contains(&peer.front))
            .map(|(peer, _)| peer)
            .collect();
        if usable.is_empty() {
            return None;
        }
        Some(usable[rng.random_range(0..usable.len())].clone())
    }

    /// Records that a peer was not reached, or could not serve.
    pub fn record_failed(&mut self, front: &str, now: Time) {
        for (peer, backoff_until) in &mut self.peers {
            if peer.front == front {
                *backoff_until = now + PEER_BACKOFF;
            }
        }
    }
}
