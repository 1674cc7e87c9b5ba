//! The keys with which fronts prove to each other that they are fronts: where they come from.
//!
//! A front learns the key of the granter from the lease record when it reads it, and from the
//! granter's updates. It keeps the last two, also while there is no granter.

use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::lease::Lease;
use carawayrill_core::direct::reach::PeerKey;
use carawayrill_core::id::Version;
use carawayrill_store::port::Object;

use crate::lease_manager::LeaseManager;
use crate::state::Shared;

impl LeaseManager {
    /// Records the key of the lease as last read or written.
    pub(crate) fn learn_peer_key(&self) {
        let known = {
            let view = self.view();
            view.peer_key().map(|(key, version)| (key.clone(), version))
        };
        if let Some((key, version)) = known {
            self.shared().tables().peer_keys.set(&key, version);
        }
    }
}

impl Shared {
    /// Returns whether a front that joins the granter has proved that it is one.
    pub(crate) fn verify_join(&self, front: &str, proof: &[u8]) -> bool {
        let is_proven = self.tables().peer_keys.verify_join(front, proof);
        if !is_proven {
            self.metrics.unproven.with_label_values(&["join"]).inc();
            log::warn!("{front} joined without a valid proof and is not named as a peer");
        }
        is_proven
    }
}

/// Returns a new key, or `None` if the system has no random numbers.
pub(crate) fn generate() -> Option<PeerKey> {
    let mut bytes = [0; 32];
    match getrandom::fill(&mut bytes) {
        Ok(()) => Some(PeerKey::new(bytes)),
        Err(err) => {
            log::error!("could not make a key for the fronts: {err}");
            None
        }
    }
}

/// Decodes the key of an update. Updates of an older granter have none.
pub(crate) fn decode(key: &[u8], lease: StoredVersion) -> Option<(PeerKey, StoredVersion)> {
    if key.is_empty() {
        return None;
    }
    let decoded = PeerKey::from_slice(key);
    if decoded.is_none() {
        log::warn!("skipped a key of the fronts with {} bytes", key.len());
    }
    Some((decoded?, lease))
}

/// Decodes a stored lease. One that can't be decoded counts as held by another front.
pub(crate) fn decode_lease(found: Option<Object>) -> (Version, Option<Lease>) {
    let Some(object) = found else {
        return (Version(0), None);
    };
    match serde_json::from_slice(&object.value) {
        Ok(lease) => (object.version, Some(lease)),
        Err(err) => {
            log::error!("could not decode the stored lease: {err}");
            (object.version, None)
        }
    }
}
