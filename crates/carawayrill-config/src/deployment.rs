//! The checked types of a deployment.

use std::net::SocketAddr;

use carawayrill_core::data;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::Generation;
use carawayrill_core::id::RegionId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::unit::BitRate;
use carawayrill_core::unit::ByteSize;
use carawayrill_core::unit::Span;
use compact_str::CompactString;

data! {
    /// Everything that operators declare, merged and checked.
    pub struct Deployment {
        /// Generation of this configuration; 0 until it is accepted.
        pub generation: Generation,
        /// Name of the deployment.
        pub name: CompactString,
        /// Data centres, each with its region. Each is one site.
        pub data_centres: Vec<DataCentre>,
        /// Bandwidth between each pair of regions, in each direction.
        pub region_link: BitRate,
        /// Services of the base file.
        pub services: Vec<Service>,
        /// Services that overlays adjust, one entry per site and service.
        pub site_services: Vec<SiteService>,
        /// Servers of all services.
        pub servers: Vec<Server>,
        /// Time limits of the control path.
        pub timing: Timing,
    }

    /// One data centre.
    pub struct DataCentre {
        /// Name of the data centre.
        pub id: DataCentreId,
        /// Region of the data centre.
        pub region: RegionId,
    }

    /// One service.
    pub struct Service {
        /// Name of the service, which is also the first segment of a request's path.
        pub id: ServiceId,
        /// Location of the key in a request.
        pub key: KeySource,
        /// Number of hash ranges that divide the keys. Fixed for the life of the service.
        pub shards: u32,
        /// Number of shards per stored block. Fixed for the life of the service.
        pub shards_per_block: u32,
        /// Requests that one server runs concurrently.
        pub slots: u32,
        /// Connections that one server accepts.
        pub connections: u32,
        /// Requests that may be sent more than once.
        pub repeat: Repeat,
        /// Time during which a caller may retry a request that must not run twice.
        pub claim_window: Span,
        /// Time limit of a request that sets none.
        pub default_deadline: Span,
        /// Longest time limit that a request may set.
        pub max_deadline: Span,
        /// Largest request body.
        pub max_body: ByteSize,
        /// Requests that may be queued for one server.
        pub queue_limit: u32,
        /// Time in which the load of a new server rises to its full share.
        pub warm_up: Span,
        /// Behaviour of a home while the store is unreachable.
        pub on_store_outage: OnStoreOutage,
        /// Whether the service's servers check fencing tokens.
        pub fencing: bool,
    }

    /// A service with the adjustments of one site.
    pub struct SiteService {
        /// Site that adjusts the service.
        pub data_centre: DataCentreId,
        /// Service that is in force at the site.
        pub service: Service,
    }

    /// The location of the key in a request.
    #[serde(rename_all = "snake_case")]
    pub enum KeySource {
        /// The value of the header with this name.
        Header(CompactString),
        /// The value of the query parameter with this name.
        Query(CompactString),
        /// The segment of the path with this index, counted from 0 after the service's name.
        Path(u32),
    }

    /// The requests of a service that may be sent more than once.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Repeat {
        /// All requests, as each is idempotent.
        All,
        /// GET and HEAD requests only. Others need an idempotency key.
        SafeMethods,
        /// No requests. All need an idempotency key.
        Never,
    }

    /// The behaviour of a home while the store is unreachable.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum OnStoreOutage {
        /// The home keeps serving for this time after its last successful read.
        Hold(Span),
        /// The home stops once its last successful read is older than `Timing::authority`.
        Stop,
    }

    /// One server.
    pub struct Server {
        /// Name of the server.
        pub id: ServerId,
        /// Service of the server.
        pub service: ServiceId,
        /// Data centre of the server.
        pub data_centre: DataCentreId,
        /// Address at which the server accepts requests and orders.
        pub address: SocketAddr,
    }

    /// Time limits of the control path.
    #[derive(Copy)]
    pub struct Timing {
        /// Lifetime of a grant, by the server's clock.
        pub grant_ttl: Span,
        /// Interval at which grants are renewed and servers are probed.
        pub renew_every: Span,
        /// Time for which a version check of the store gives authority.
        pub authority: Span,
        /// Interval of version checks.
        pub check_every: Span,
        /// Time without a response after which a server counts as lost.
        pub server_silence: Span,
        /// Time without a heartbeat after which a router counts as lost.
        pub router_silence: Span,
        /// Interval of the routers' heartbeats.
        pub heartbeat_every: Span,
        /// Duration of a controller's lease.
        pub controller_lease: Span,
        /// Upper bound of the drift between two clocks, in parts per million.
        pub drift_ppm: u32,
    }
}

impl Deployment {
    /// Returns the declaration of a service.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Returns a service as it is in force at a site.
    ///
    /// To judge the authority of another process, pass the site of that process.
    #[must_use]
    pub fn service_at(&self, id: &ServiceId, site: &DataCentreId) -> Option<&Service> {
        self.site_services
            .iter()
            .find(|row| row.data_centre == *site && row.service.id == *id)
            .map(|row| &row.service)
            .or_else(|| self.service(id))
    }

    /// Returns the deployment with its services as they are in force at a site.
    #[must_use]
    pub fn at_site(&self, site: &DataCentreId) -> Self {
        let mut view = self.clone();
        for service in &mut view.services {
            if let Some(adjusted) = self.service_at(&service.id, site) {
                service.clone_from(adjusted);
            }
        }
        view
    }

    /// Returns the declaration of a server.
    #[must_use]
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.iter().find(|server| server.id == *id)
    }

    /// Returns the region of a data centre.
    #[must_use]
    pub fn region_of(&self, data_centre: &DataCentreId) -> Option<&RegionId> {
        self.data_centres
            .iter()
            .find(|dc| dc.id == *data_centre)
            .map(|dc| &dc.region)
    }
}
