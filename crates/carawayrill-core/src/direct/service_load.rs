//! The requests of a service that one front has accepted since its last report.

/// Counts of requests and their bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The requests that callers have sent.
    pub offered: u32,
    /// Those of them that are of routes with homes.
    pub with_homes: u32,
    /// The requests that were sent to servers in other regions.
    pub sent_away: u32,
    /// The bytes of all requests and responses together.
    pub bytes: u64,
    /// The responses that these bytes are of.
    pub responses: u32,
}
