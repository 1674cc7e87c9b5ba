//! Whether a front reaches the servers, and which other front takes its requests if not.
//!
//! A front may be cut off from all servers while callers, the store and the other fronts reach it.
//! It then passes its callers' requests on to a front that reaches the servers, with a proof that it
//! is a front. If it does not reach some servers, it passes on the requests for these.

mod detour;
mod peers;
mod probe;
mod proof;
mod servers;

pub use self::detour::Detours;
pub use self::peers::NoHomePeer;
pub use self::peers::Peer;
pub use self::peers::PeerTable;
pub use self::peers::Place;
pub use self::peers::choose_peers;
pub use self::peers::choose_peers_in_regions;
pub use self::probe::choose_probes;
pub use self::proof::PeerKey;
pub use self::proof::PeerKeys;
pub use self::proof::deserialize_key;
pub use self::servers::PROBES;
pub use self::servers::ReachChange;
pub use self::servers::ServerReach;
pub use self::servers::ServiceSizes;
