//! The settings of a gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_core::direct::budget::Allowance;
use carawayrill_core::direct::egress::EgressConfig;
use carawayrill_core::direct::granter;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::RegionId;
use compact_str::CompactString;

/// The settings of one gateway process.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name of this front.
    pub front: CompactString,
    /// The number of this run, different from those of other runs of the same front.
    pub incarnation: u64,
    /// The processor time that this front may use, in cores.
    pub cores: f64,
    /// The address on which callers connect.
    pub listen: SocketAddr,
    /// The address of the readiness endpoint.
    pub ready: SocketAddr,
    /// The path of the readiness endpoint.
    pub ready_path: CompactString,
    /// The address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// The address on which other fronts connect while this one is the granter.
    pub peer: SocketAddr,
    /// The data centre of this machine.
    pub data_centre: DataCentreId,
    /// The region of each data centre.
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// The retry budget, shared by all fronts.
    pub retry_budget: Allowance,
    /// The time between the stop signal and the moment by which the process must have exited.
    pub stop_grace: Duration,
    /// The time after the stop signal within which callers are directed to other fronts. A request
    /// that arrives later is refused if it could outlast the process.
    pub stop_redirect: Duration,
    /// Whether the whole system starts for the first time, so that servers are still being added to
    /// the list.
    pub first_start: bool,
    /// The delay between a change of servers and the next watch, so that changes are read in
    /// batches.
    pub server_batch_delay: Duration,
    /// The time after which the entry of a server that has ended is removed from the list.
    pub entry_expiry: Duration,
    /// The shortest outage of the store in which the entry of a running server can expire.
    pub min_lapse: Duration,
    /// How long requests may still be sent to a server after it started to drain.
    pub drain: Duration,
    /// The time within which no request reaches a data centre any more after its evacuation was
    /// requested; `None` if the deployment has no evacuations.
    pub evacuation_bound: Option<Duration>,
    /// The settings of cross-region egress; `None` if each front decides by itself which requests
    /// leave its region.
    pub region_egress: Option<EgressConfig>,
    /// The settings of the granter's decision logic.
    pub granter: granter::Config,
    /// The validity of the granter's lease after a renewal.
    pub lease_duration: Duration,
    /// The maximum number of bytes of requests and responses that are held at a time.
    pub max_buffered_bytes: usize,
    /// The maximum number of open connections of callers.
    pub max_caller_connections: usize,
}
