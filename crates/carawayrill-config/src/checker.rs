//! Conversion of the parsed files to the checked types.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::Generation;
use compact_str::CompactString;

use crate::Error;
use crate::Origin;
use crate::Problem;
use crate::config_files::BASE_FILE;
use crate::config_files::site_file;
use crate::deployment::DataCentre;
use crate::deployment::Deployment;
use crate::deployment::OnStoreOutage;
use crate::deployment::Server;
use crate::deployment::Service;
use crate::deployment::SiteService;
use crate::deployment::Timing;
use crate::entity::EntityFields;
use crate::entity::entity_fields;
use crate::entity::file_start;
use crate::fields::Fields;
use crate::fields::join_path;
use crate::loaded::FileValues;

/// Checks the values of all files and collects the problems.
#[derive(Debug)]
pub(crate) struct Checker<'a> {
    values: &'a FileValues,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    /// Creates a checker that starts with `problems`.
    pub(crate) fn new(values: &'a FileValues, problems: Vec<Problem>) -> Self {
        Self { values, problems }
    }

    /// Returns the deployment, or an error with all problems.
    pub(crate) fn check(mut self) -> Result<Deployment, Error> {
        let data_centres = self.data_centres();
        let timing = self.timing();
        let services = self.services(timing.as_ref());
        let site_services = self.site_services(&data_centres, timing.as_ref());
        let servers = self.servers();
        let root = entity_fields("", &[&self.values.base], &file_start(BASE_FILE));
        let name = root.get("name");
        let region_link = root.get("region_link");
        self.problems.extend(root.missing_fields());
        match (name, region_link, timing) {
            (Ok(name), Ok(region_link), Some(timing)) if self.problems.is_empty() => {
                Ok(Deployment {
                    generation: Generation::default(),
                    name,
                    data_centres,
                    region_link,
                    services,
                    site_services,
                    servers,
                    timing,
                })
            }
            _ => Err(Error::problems(self.problems)),
        }
    }

    /// Returns the value, or records the problem of a failed conversion. If the value was already
    /// reported when its file was parsed, the two problems are equal and are merged later.
    fn ok_or_record<T>(&mut self, result: Result<T, Problem>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(problem) => {
                self.problems.push(problem);
                None
            }
        }
    }

    /// Checks the data centres.
    fn data_centres(&mut self) -> Vec<DataCentre> {
        let names = self.values.base.names("data_centres");
        if names.is_empty() {
            let text = "missing; expected at least one data centre with its region";
            self.problems
                .push(Problem::new(&file_start(BASE_FILE), "data_centres", text));
        }
        let mut data_centres = Vec::new();
        for (name, origin) in names {
            let entity = entity_fields(
                &join_path("data_centres", &name),
                &[&self.values.base],
                &origin,
            );
            let region = self.ok_or_record(entity.get("region"));
            let id = DataCentreId::try_from(name).ok();
            if let (Some(id), Some(region)) = (id, region) {
                data_centres.push(DataCentre { id, region });
            }
        }
        data_centres
    }

    /// Checks the time limits of the control path.
    fn timing(&mut self) -> Option<Timing> {
        let entity = entity_fields("timing", &[&self.values.base], &file_start(BASE_FILE));
        let timing = self.ok_or_record(Timing::try_from(&entity))?;
        let at_most_half = [
            (
                "renew_every",
                timing.renew_every,
                "grant_ttl",
                timing.grant_ttl,
            ),
            (
                "renew_every",
                timing.renew_every,
                "server_silence",
                timing.server_silence,
            ),
            (
                "check_every",
                timing.check_every,
                "authority",
                timing.authority,
            ),
            (
                "heartbeat_every",
                timing.heartbeat_every,
                "router_silence",
                timing.router_silence,
            ),
        ];
        for (name, short, other, long) in at_most_half {
            if short.0 * 2 > long.0 {
                let text = format!(
                    "found {short}, expected at most half of {other} ({long}), so that a single lost message has no effect"
                );
                self.problems.push(entity.problem_at(name, &text));
            }
        }
        if timing.grant_ttl.0 > timing.authority.0 {
            let text = format!(
                "found {}, expected at most authority ({})",
                timing.grant_ttl, timing.authority
            );
            self.problems.push(entity.problem_at("grant_ttl", &text));
        }
        Some(timing)
    }

    /// Checks the services of the base file.
    fn services(&mut self, timing: Option<&Timing>) -> Vec<Service> {
        let names = self.values.base.names("services");
        if names.is_empty() {
            let text = "missing; expected at least one service";
            self.problems
                .push(Problem::new(&file_start(BASE_FILE), "services", text));
        }
        let mut services = Vec::new();
        for (name, origin) in names {
            let entity =
                entity_fields(&join_path("services", &name), &[&self.values.base], &origin);
            self.problems.extend(entity.missing_fields());
            services.extend(self.service(&entity, timing));
        }
        services
    }

    /// Checks one service. Missing required fields have already been reported.
    fn service(&mut self, entity: &EntityFields<'_>, timing: Option<&Timing>) -> Option<Service> {
        let service = self.ok_or_record(Service::try_from(entity))?;
        self.check_service_fields(entity, &service, timing);
        Some(service)
    }

    /// Checks that the fields of a service are consistent with each other.
    fn check_service_fields(
        &mut self,
        entity: &EntityFields<'_>,
        service: &Service,
        timing: Option<&Timing>,
    ) {
        let mut refuse =
            |name: &str, text: String| self.problems.push(entity.problem_at(name, &text));
        if service.default_deadline.0 > service.max_deadline.0 {
            refuse(
                "default_deadline",
                format!(
                    "found {}, expected at most max_deadline ({})",
                    service.default_deadline, service.max_deadline
                ),
            );
        }
        if service.claim_window.0 < service.max_deadline.0 {
            refuse(
                "claim_window",
                format!(
                    "found {}, expected at least max_deadline ({})",
                    service.claim_window, service.max_deadline
                ),
            );
        }
        if let (OnStoreOutage::Hold(hold), Some(timing)) = (service.on_store_outage, timing)
            && hold.0 < timing.authority.0
        {
            refuse(
                "on_store_outage",
                format!(
                    "found hold {hold}, expected at least timing.authority ({})",
                    timing.authority
                ),
            );
        }
    }

    /// Checks the services that overlays adjust.
    fn site_services(
        &mut self,
        data_centres: &[DataCentre],
        timing: Option<&Timing>,
    ) -> Vec<SiteService> {
        let values = self.values;
        let mut adjusted = Vec::new();
        for (site, fields) in &values.sites {
            if !data_centres.iter().any(|dc| dc.id == *site) {
                let text = format!(
                    "the file name contains `{site}`, which is not a data centre of the base file"
                );
                self.problems
                    .push(Problem::new(&file_start(&site_file(site)), "", text));
            }
            for (name, origin) in fields.names("services") {
                let path = join_path("services", &name);
                if !values.base.names("services").contains_key(&name) {
                    self.problems.push(unknown_service(&origin, &path, &name));
                    continue;
                }
                let entity = entity_fields(&path, &[fields, &values.base], &origin);
                self.check_hold_time(&entity, &values.base);
                adjusted.extend(self.service(&entity, timing).map(|service| SiteService {
                    data_centre: site.clone(),
                    service,
                }));
            }
        }
        adjusted
    }

    /// Checks that an overlay doesn't let a home keep its authority for longer than the base file
    /// does. A takeover waits for the time in the base file, whatever the site of the home is.
    fn check_hold_time(&mut self, entity: &EntityFields<'_>, base: &Fields) {
        let base_entity = entity_fields(&entity.path, &[base], &entity.origin);
        let at_site = entity.get("on_store_outage");
        let in_base = base_entity.get("on_store_outage");
        let (Ok(at_site), Ok(in_base)) = (at_site, in_base) else {
            return;
        };
        let hold = |outage: OnStoreOutage| match outage {
            OnStoreOutage::Hold(span) => span.0,
            OnStoreOutage::Stop => Duration::ZERO,
        };
        if hold(at_site) > hold(in_base) {
            let text = format!("found `{at_site}`, expected at most `{in_base}` of the base file");
            self.problems
                .push(entity.problem_at("on_store_outage", &text));
        }
    }

    /// Checks the servers of all files.
    fn servers(&mut self) -> Vec<Server> {
        let values = self.values;
        let mut first: BTreeMap<CompactString, Origin> = BTreeMap::new();
        let mut servers = Vec::new();
        let layers = std::iter::once((None, &values.base));
        let layers = layers.chain(
            values
                .sites
                .iter()
                .map(|(site, fields)| (Some(site), fields)),
        );
        for (site, fields) in layers {
            for (name, origin) in fields.names("servers") {
                let path = join_path("servers", &name);
                if let Some(earlier) = first.get(&name) {
                    let text = format!(
                        "declared twice, first at {}:{}; expected one declaration",
                        earlier.file, earlier.line
                    );
                    self.problems.push(Problem::new(&origin, path, text));
                    continue;
                }
                first.insert(name, origin.clone());
                let entity = entity_fields(&path, &[fields], &origin);
                let server = self.server(&entity, site);
                servers.extend(server.map(|server| (server, origin)));
            }
        }
        self.check_addresses(&servers);
        servers.into_iter().map(|(server, _)| server).collect()
    }

    /// Checks one server.
    fn server(&mut self, entity: &EntityFields<'_>, site: Option<&DataCentreId>) -> Option<Server> {
        let name = entity.path.rsplit('.').next().unwrap_or_default();
        let service = self.ok_or_record(entity.get("service"));
        let address = self.ok_or_record(entity.get::<SocketAddr>("address"));
        let data_centre = match site {
            Some(site) => Some(site.clone()),
            None => self.ok_or_record(entity.get("data_centre")),
        };
        self.check_references(entity);
        Some(Server {
            id: name.try_into().ok()?,
            service: service?,
            data_centre: data_centre?,
            address: address?,
        })
    }

    /// Checks that the service and the data centre of a server are declared.
    fn check_references(&mut self, entity: &EntityFields<'_>) {
        let base = &self.values.base;
        if let Some(service) = entity.raw("service")
            && !is_declared(base, "services", service)
        {
            let path = join_path(&entity.path, "service");
            self.problems
                .push(unknown_service(entity.origin_of("service"), &path, service));
        }
        if let Some(site) = entity.raw("data_centre")
            && !is_declared(base, "data_centres", site)
        {
            let text = format!("found `{site}`, expected a data centre of the base file");
            self.problems.push(entity.problem_at("data_centre", &text));
        }
    }

    /// Checks that no two servers have the same address.
    fn check_addresses(&mut self, servers: &[(Server, Origin)]) {
        let mut first: BTreeMap<SocketAddr, &Server> = BTreeMap::new();
        for (server, origin) in servers {
            if let Some(earlier) = first.insert(server.address, server) {
                let path = format!("servers.{}.address", server.id);
                let text = format!(
                    "found {}, which is also the address of server `{}`; expected one server per address",
                    server.address, earlier.id
                );
                self.problems.push(Problem::new(origin, path, text));
            }
        }
    }
}

/// Returns whether the base file declares an entity of this name.
fn is_declared(base: &Fields, section: &str, name: &str) -> bool {
    let prefix = format!("{section}.{name}.");
    base.values
        .range(prefix.clone()..)
        .next()
        .is_some_and(|(path, _)| path.starts_with(&prefix))
}

/// Returns the problem of a reference to an undeclared service.
fn unknown_service(origin: &Origin, path: &str, name: &str) -> Problem {
    let text = format!("found `{name}`, expected a service of the base file");
    Problem::new(origin, path, text)
}
