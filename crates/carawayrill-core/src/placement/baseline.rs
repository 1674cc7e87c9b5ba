//! Baselines to compare placement with: static hashing and plain consistent hashing.
//!
//! Both ignore load and change owners only when servers join or leave.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::KeyHash;
use crate::id::ServerId;

/// Returns the owner of a key under static hashing: the hash modulo the number of servers.
///
/// Returns `None` if there are no servers.
#[must_use]
pub fn static_owner(servers: &[ServerId], key: KeyHash) -> Option<&ServerId> {
    let count = u64::try_from(servers.len()).ok()?;
    let index = usize::try_from(key.0.checked_rem(count)?).ok()?;
    servers.get(index)
}

/// A consistent-hashing ring with a number of points per server.
#[derive(Debug, Clone)]
pub struct Ring {
    points: Vec<(u64, ServerId)>,
}

impl Ring {
    /// Creates a ring with `points` points per server.
    #[must_use]
    pub fn new(servers: &[ServerId], points: u32) -> Self {
        let ring_point = |server: &ServerId, point: u32| {
            let hash = xxh3_64_with_seed(server.as_str().as_bytes(), point.into());
            (hash, server.clone())
        };
        let all = servers
            .iter()
            .flat_map(|server| (0..points).map(move |point| ring_point(server, point)));
        let mut points: Vec<_> = all.collect();
        points.sort();
        Self { points }
    }

    /// Returns the server at the first point at or after the hash of the key, wrapping around at
    /// the end of the ring.
    #[must_use]
    pub fn owner(&self, key: KeyHash) -> Option<&ServerId> {
        let index = self.points.partition_point(|(hash, _)| *hash < key.0);
        let point = self.points.get(index).or_else(|| self.points.first());
        point.map(|(_, server)| server)
    }
}
