//! Converts the lists of fronts that take requests for others.

use carawayrill_core::direct::reach::Peer;
use carawayrill_core::id::DataCentreId;
use carawayrill_proto::granter as wire;

use super::convert::parse_id;

/// Encodes a list.
pub(super) fn encode(peers: &[Peer]) -> wire::PeerList {
    wire::PeerList {
        peers: peers.iter().map(encode_one).collect(),
    }
}

/// Encodes a peer.
pub(super) fn encode_one(peer: &Peer) -> wire::Peer {
    wire::Peer {
        front: peer.front.to_string(),
        address: peer.address.to_string(),
        data_centre: peer.data_centre.to_string(),
    }
}

/// Decodes a list. Invalid parts are logged and skipped.
pub(super) fn decode(list: &wire::PeerList) -> Vec<Peer> {
    list.peers.iter().filter_map(decode_one).collect()
}

/// Decodes a peer. An invalid one is logged.
pub(super) fn decode_one(peer: &wire::Peer) -> Option<Peer> {
    decode_peer(&peer.front, &peer.address, &peer.data_centre)
}

/// Decodes a peer. An empty address stands for none.
pub(super) fn decode_peer(front: &str, address: &str, data_centre: &str) -> Option<Peer> {
    if address.is_empty() {
        return None;
    }
    let address = match address.parse() {
        Ok(address) => address,
        Err(err) => {
            log::warn!("skipped a front with an invalid address {address}: {err}");
            return None;
        }
    };
    Some(Peer {
        front: front.into(),
        address,
        data_centre: parse_id(DataCentreId::try_from(data_centre))?,
    })
}
