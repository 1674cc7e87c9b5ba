//! The fronts that take requests for those that are cut off.
//!
//! Half of a fleet of 300 may be cut off at once, so that a front knows several peers and spreads its
//! requests over them, and different fronts know different ones. A request with home regions may
//! leave the region of its caller only for one of these, so that a front knows peers in each region.
//! With 3 regions these are at most 8, in a message of some 400 bytes when they change.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::admission::Distance;
use crate::direct::homes::Homes;
use crate::id::DataCentreId;
use crate::id::RegionId;
use crate::time::Time;

/// The number of peers that a front is told of.
const MAX_PEERS: usize = 4;
/// The number of these that may stand in the same data centre, which may be cut off as a whole.
const MAX_SAME_DATA_CENTRE: usize = 2;
/// The number of peers in each region that these do not cover.
const MAX_PEERS_OF_FURTHER_REGION: usize = 2;
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

/// Chooses the peers of a front as [`choose_peers`] does, and then some in each region that these do
/// not cover, since requests may be restricted to their home regions.
#[must_use]
pub fn choose_peers_in_regions<'a>(
    front: &str,
    others: impl Iterator<Item = &'a Peer> + Clone,
    distance: impl Fn(&DataCentreId) -> Distance,
    regions: &BTreeMap<DataCentreId, RegionId>,
) -> Vec<Peer> {
    let mut chosen = choose_peers(front, others.clone(), distance);
    let region = |peer: &Peer| regions.get(&peer.data_centre);
    let covered: BTreeSet<_> = chosen.iter().filter_map(region).collect();
    let mut ranked: Vec<_> = others
        .filter(|peer| peer.front != front)
        .filter_map(|peer| Some((region(peer)?, pair_hash(front, peer), peer)))
        .filter(|(region, ..)| !covered.contains(region))
        .collect();
    ranked.sort_by_key(|(region, hash, _)| (*region, *hash));
    for in_region in ranked.chunk_by(|one, next| one.0 == next.0) {
        let added = in_region.iter().take(MAX_PEERS_OF_FURTHER_REGION);
        chosen.extend(added.map(|(.., peer)| (*peer).clone()));
    }
    chosen
}

fn pair_hash(front: &str, peer: &Peer) -> u64 {
    xxh3_64(format!("{front} {}", peer.front).as_bytes())
}

/// Where a front is.
#[derive(Debug, Clone, Copy)]
pub struct Place<'a> {
    /// Its data centre.
    pub data_centre: &'a DataCentreId,
    /// The regions of all data centres.
    pub regions: &'a BTreeMap<DataCentreId, RegionId>,
}

impl Place<'_> {
    /// Returns whether a request that is restricted to `homes` may be passed on to a peer.
    #[must_use]
    pub fn permits(&self, homes: &Homes, peer: &Peer) -> bool {
        homes.allows(self.regions.get(&peer.data_centre)) || self.is_own_region(peer)
    }

    /// Returns whether a peer is in the region of this front. Without a region, only its own data
    /// centre counts as such.
    fn is_own_region(&self, peer: &Peer) -> bool {
        let own = self.regions.get(self.data_centre);
        let is_same = own.is_some() && own == self.regions.get(&peer.data_centre);
        is_same || peer.data_centre == *self.data_centre
    }
}

/// The request may be passed on to none of the known peers, because of its home regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoHomePeer;

/// A peer, and what this front knows of it.
#[derive(Debug)]
struct KnownPeer {
    peer: Peer,
    /// Until when it is passed over, because it was not reached.
    backoff_until: Time,
    /// The requests that it was sent and has not answered.
    outstanding: u32,
}

/// The peers of one front, which of them were not reached lately, and how many requests each has.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: Vec<KnownPeer>,
}

impl PeerTable {
    /// Replaces the peers. Those that are known keep their outstanding requests.
    pub fn set(&mut self, peers: Vec<Peer>) {
        let known = std::mem::take(&mut self.peers);
        let outstanding = |peer: &Peer| {
            let known = known.iter().find(|known| known.peer.front == peer.front);
            known.map_or(0, |known| known.outstanding)
        };
        self.peers = peers
            .into_iter()
            .map(|peer| KnownPeer {
                outstanding: outstanding(&peer),
                peer,
                backoff_until: Time::default(),
            })
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
        self.peers.iter().any(|known| known.peer.front == front)
    }

    /// Chooses a peer for a request that was not passed on to any of `tried` before. Requests are
    /// spread over the near peers, since one might not bear them, with the least outstanding first: a
    /// peer that is frozen or overloaded gets few. Those that are named for their region are used only
    /// if no other can be.
    pub fn choose(&self, tried: &[CompactString], now: Time, rng: &mut impl Rng) -> Option<Peer> {
        let near = &self.peers[..self.peers.len().min(MAX_PEERS)];
        let mut usable_peers: Vec<&KnownPeer> = usable(near, tried, now).collect();
        if usable_peers.is_empty() {
            usable_peers = usable(&self.peers, tried, now).collect();
        }
        choose_least_outstanding(&usable_peers, rng)
    }

    /// Chooses a peer for a request that is restricted to `homes`: one in a home region or, if there
    /// is none that can be used, one in the region of this front.
    ///
    /// # Errors
    ///
    /// Fails if peers are known, but the request may be passed on to none of them.
    pub fn choose_for(
        &self,
        homes: &Homes,
        place: &Place<'_>,
        tried: &[CompactString],
        now: Time,
        rng: &mut impl Rng,
    ) -> Result<Option<Peer>, NoHomePeer> {
        if !homes.is_restricted() {
            return Ok(self.choose(tried, now, rng));
        }
        let is_home = |peer: &Peer| homes.allows(place.regions.get(&peer.data_centre));
        let mut known = self.peers.iter().map(|known| &known.peer);
        if !self.is_empty() && !known.any(|peer| place.permits(homes, peer)) {
            return Err(NoHomePeer);
        }
        let usable = || usable(&self.peers, tried, now);
        let mut allowed: Vec<&KnownPeer> = usable().filter(|known| is_home(&known.peer)).collect();
        if allowed.is_empty() {
            allowed = usable()
                .filter(|known| place.is_own_region(&known.peer))
                .collect();
        }
        Ok(choose_least_outstanding(&allowed, rng))
    }

    /// Records that a request is passed on to a peer.
    pub fn record_sent(&mut self, front: &str) {
        if let Some(known) = self.known(front) {
            known.outstanding += 1;
        }
    }

    /// Records that such a request has ended, with or without an answer.
    pub fn record_ended(&mut self, front: &str) {
        if let Some(known) = self.known(front) {
            known.outstanding = known.outstanding.saturating_sub(1);
        }
    }

    /// Records that a peer was not reached, or could not serve.
    pub fn record_failed(&mut self, front: &str, now: Time) {
        if let Some(known) = self.known(front) {
            known.backoff_until = now + PEER_BACKOFF;
        }
    }

    fn known(&mut self, front: &str) -> Option<&mut KnownPeer> {
        self.peers
            .iter_mut()
            .find(|known| known.peer.front == front)
    }
}

/// Returns the peers that were reached lately and not tried yet.
fn usable<'a>(
    peers: &'a [KnownPeer],
    tried: &'a [CompactString],
    now: Time,
) -> impl Iterator<Item = &'a KnownPeer> {
    peers
        .iter()
        .filter(move |known| known.backoff_until <= now && !tried.contains(&known.peer.front))
}

/// Chooses any of the peers with the least outstanding requests.
fn choose_least_outstanding(peers: &[&KnownPeer], rng: &mut impl Rng) -> Option<Peer> {
    let least = peers.iter().map(|known| known.outstanding).min()?;
    let idlest: Vec<_> = peers
        .iter()
        .filter(|known| known.outstanding == least)
        .collect();
    let at = rng.random_range(0..idlest.len());
    Some(idlest[at].peer.clone())
}
