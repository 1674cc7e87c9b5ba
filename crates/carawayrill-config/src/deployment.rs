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
        /// The number of this configuration; 0 until it is accepted.
        pub generation: Generation,
        /// The deployment's name.
        pub name: CompactString,
        /// Data centres, each with its region. Each is one site.
        pub data_centres: Vec<DataCentre>,
        /// Bandwidth between each pair of regions, each way.
        pub region_link: BitRate,
        /// Services, as the base file declares them.
        pub services: Vec<Service>,
        /// Services as overlays adjust them, one row for each site that adjusts a service.
        pub site_services: Vec<SiteService>,
        /// Servers of all services.
        pub servers: Vec<Server>,
        /// Time limits of the control path.
        pub timing: Timing,
    }

    /// One data centre.
    pub struct DataCentre {
        /// Its name.
        pub id: DataCentreId,
        /// The region it stands in.
        pub region: RegionId,
    }

    /// One service.
    pub struct Service {
        /// Its name, also the first segment of the request's path.
        pub id: ServiceId,
        /// Where a request carries its key.
        pub key: KeySource,
        /// How many hash ranges its keys are divided into. Fixed for the life of the service.
        pub shards: u32,
        /// How many shards one stored block holds.
        pub shards_per_block: u32,
        /// Requests that one server runs at a time.
        pub slots: u32,
        /// Connections that one server takes.
        pub connections: u32,
        /// Which requests may be repeated.
        pub repeat: Repeat,
        /// How long a caller may repeat a request that must not run twice.
        pub claim_window: Span,
        /// The time limit of a request that names none.
        pub default_deadline: Span,
        /// The longest time limit that a request may name.
        pub max_deadline: Span,
        /// The longest request body.
        pub max_body: ByteSize,
        /// Requests that may wait for one server.
        pub queue_limit: u32,
        /// How long a new server takes to reach its full load.
        pub warm_up: Span,
        /// What a home does while the store can't be reached.
        pub on_store_outage: OnStoreOutage,
        /// Whether its servers check fencing tokens.
        pub fencing: bool,
    }

    /// One service as one site adjusts it.
    pub struct SiteService {
        /// The site.
        pub data_centre: DataCentreId,
        /// The service in force there.
        pub service: Service,
    }

    /// Where a request carries its key.
    #[serde(rename_all = "snake_case")]
    pub enum KeySource {
        /// The value of a header.
        Header(CompactString),
        /// The value of a query parameter.
        Query(CompactString),
        /// A segment of the path, counted from 0 after the service's name.
        Path(u32),
    }

    /// Which requests of a service may be repeated.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Repeat {
        /// All: each is idempotent.
        All,
        /// GET and HEAD only. Others need an idempotency key.
        SafeMethods,
        /// None. All need an idempotency key.
        Never,
    }

    /// What a home does while the store can't be reached.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum OnStoreOutage {
        /// It goes on for the given time after its last good read.
        Hold(Span),
        /// It stops once its last good read is older than `Timing::authority`.
        Stop,
    }

    /// One server.
    pub struct Server {
        /// Its name.
        pub id: ServerId,
        /// The service it belongs to.
        pub service: ServiceId,
        /// The data centre it stands in.
        pub data_centre: DataCentreId,
        /// Where it takes requests and orders.
        pub address: SocketAddr,
    }

    /// Time limits of the control path.
    #[derive(Copy)]
    pub struct Timing {
        /// How long a grant lasts on the server's clock.
        pub grant_ttl: Span,
        /// How often grants are renewed and servers are probed.
        pub renew_every: Span,
        /// How long a version check of the store gives authority.
        pub authority: Span,
        /// How often the version is checked.
        pub check_every: Span,
        /// Silence after which a server is held to be lost.
        pub server_silence: Span,
        /// Silence after which a router is held to be lost.
        pub router_silence: Span,
        /// How often routers send heartbeats.
        pub heartbeat_every: Span,
        /// How long a controller's lease lasts.
        pub controller_lease: Span,
        /// Bound on the drift between two clocks, in parts per million.
        pub drift_ppm: u32,
    }
}

impl Deployment {
    /// Returns the declaration of a service.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Returns a service as it is in force at one site.
    ///
    /// A process that judges another one's authority asks for the site where that one stands.
    #[must_use]
    pub fn service_at(&self, id: &ServiceId, site: &DataCentreId) -> Option<&Service> {
        self.site_services
            .iter()
            .find(|row| row.data_centre == *site && row.service.id == *id)
            .map(|row| &row.service)
            .or_else(|| self.service(id))
    }

    /// Returns the deployment as one site sees it: its services are those in force there.
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
