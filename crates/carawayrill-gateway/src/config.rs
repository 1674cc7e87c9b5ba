//! What a gateway is told at its start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_core::direct::budget::Allowance;
use carawayrill_core::direct::granter;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::RegionId;
use compact_str::CompactString;

/// The settings of one gateway process.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name of this front.
    pub front: CompactString,
    /// Tells two runs of the same front apart.
    pub incarnation: u64,
    /// The processor time that this front has, in cores.
    pub cores: f64,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the platform asks for readiness.
    pub ready: SocketAddr,
    /// The path of the readiness question.
    pub ready_path: CompactString,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where other fronts join this one while it is the granter.
    pub peer: SocketAddr,
    /// The data centre of this machine.
    pub data_centre: DataCentreId,
    /// The region of each data centre.
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// The retry budget over all fronts.
    pub retry_budget: Allowance,
    /// The longest time from the order to stop until the process has to be gone.
    pub stop_grace: Duration,
    /// Whether the whole system starts for the first time, so that servers are still being listed.
    pub first_start: bool,
    /// How long changes of servers are gathered before the next watch.
    pub server_batch_delay: Duration,
    /// How long a server may be sent requests after it was seen to leave.
    pub drain: Duration,
    /// Times of the granter.
    pub granter: granter::Config,
    /// How long the granter's lease holds after a renewal.
    pub lease_duration: Duration,
    /// The most bytes of requests and answers that are held at a time.
    pub max_buffered_bytes: usize,
}
