//! From the values of the files to the checked types.

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
use crate::fields::Fields;
use crate::fields::join;
use crate::loaded::FileValues;
use crate::row::Row;
use crate::row::row_of;
use crate::row::start_of;

/// Checks the values of all files and collects everything that is wrong.
#[derive(Debug)]
pub(crate) struct Checker<'a> {
    values: &'a FileValues,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    /// Makes a checker that has found `problems` already.
    pub(crate) fn new(values: &'a FileValues, problems: Vec<Problem>) -> Self {
        Self { values, problems }
    }

    /// Returns the deployment, or all problems.
    pub(crate) fn check(mut self) -> Result<Deployment, Error> {
        let data_centres = self.data_centres();
        let timing = self.timing();
        let services = self.services(timing.as_ref());
        let site_services = self.site_services(&data_centres, timing.as_ref());
        let servers = self.servers();
        let root = row_of("", &[&self.values.base], &start_of(BASE_FILE));
        let head = root.get("name");
        let region_link = root.get("region_link");
        self.problems.extend(root.missing_fields());
        match (head, region_link, timing) {
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

    /// Adds the problem of a failed conversion. One of a value that was found wrong when its file
    /// was read is the same and falls away later.
    fn keep<T>(&mut self, made: Result<T, Problem>) -> Option<T> {
        match made {
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
                .push(Problem::new(&start_of(BASE_FILE), "data_centres", text));
        }
        let mut data_centres = Vec::new();
        for (name, origin) in names {
            let row = row_of(&join("data_centres", &name), &[&self.values.base], &origin);
            let region = self.keep(row.get("region"));
            let id = DataCentreId::try_from(name).ok();
            if let (Some(id), Some(region)) = (id, region) {
                data_centres.push(DataCentre { id, region });
            }
        }
        data_centres
    }

    /// Checks the time limits of the control path.
    fn timing(&mut self) -> Option<Timing> {
        let row = row_of("timing", &[&self.values.base], &start_of(BASE_FILE));
        let timing = self.keep(Timing::try_from(&row))?;
        let halves = [
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
        for (name, short, other, long) in halves {
            if short.0 * 2 > long.0 {
                let text = format!(
                    "found {short}, expected at most half of {other} ({long}), so that one lost message changes nothing"
                );
                self.problems.push(row.clash(name, &text));
            }
        }
        if timing.grant_ttl.0 > timing.authority.0 {
            let text = format!(
                "found {}, expected at most authority ({})",
                timing.grant_ttl, timing.authority
            );
            self.problems.push(row.clash("grant_ttl", &text));
        }
        Some(timing)
    }

    /// Checks the services as the base file declares them.
    fn services(&mut self, timing: Option<&Timing>) -> Vec<Service> {
        let names = self.values.base.names("services");
        if names.is_empty() {
            let text = "missing; expected at least one service";
            self.problems
                .push(Problem::new(&start_of(BASE_FILE), "services", text));
        }
        let mut services = Vec::new();
        for (name, origin) in names {
            let row = row_of(&join("services", &name), &[&self.values.base], &origin);
            self.problems.extend(row.missing_fields());
            services.extend(self.service(&row, timing));
        }
        services
    }

    /// Checks one service; its required fields have been looked for.
    fn service(&mut self, row: &Row<'_>, timing: Option<&Timing>) -> Option<Service> {
        let service = self.keep(Service::try_from(row))?;
        self.fits(row, &service, timing);
        Some(service)
    }

    /// Checks that the fields of a service fit each other.
    fn fits(&mut self, row: &Row<'_>, service: &Service, timing: Option<&Timing>) {
        let mut refuse = |name: &str, text: String| self.problems.push(row.clash(name, &text));
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

    /// Checks what the overlays adjust on services.
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
                    "the file is named after `{site}`, which is no data centre of the base file"
                );
                self.problems
                    .push(Problem::new(&start_of(&site_file(site)), "", text));
            }
            for (name, origin) in fields.names("services") {
                let path = join("services", &name);
                if !values.base.names("services").contains_key(&name) {
                    self.problems.push(unknown_service(&origin, &path, &name));
                    continue;
                }
                let row = row_of(&path, &[fields, &values.base], &origin);
                self.holds_no_longer(&row, &values.base);
                adjusted.extend(self.service(&row, timing).map(|service| SiteService {
                    data_centre: site.clone(),
                    service,
                }));
            }
        }
        adjusted
    }

    /// Checks that an overlay doesn't let a home hold on for longer than the base file: whoever
    /// takes over waits as long as that says, wherever the home stands.
    fn holds_no_longer(&mut self, row: &Row<'_>, base: &Fields) {
        let whole = row_of(&row.path, &[base], &row.origin);
        let here = row.get("on_store_outage");
        let there = whole.get("on_store_outage");
        let (Ok(here), Ok(there)) = (here, there) else {
            return;
        };
        let hold = |outage: OnStoreOutage| match outage {
            OnStoreOutage::Hold(span) => span.0,
            OnStoreOutage::Stop => Duration::ZERO,
        };
        if hold(here) > hold(there) {
            let text = format!("found `{here}`, expected at most `{there}` of the base file");
            self.problems.push(row.clash("on_store_outage", &text));
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
                let path = join("servers", &name);
                if let Some(earlier) = first.get(&name) {
                    let text = format!(
                        "declared twice, first at {}:{}; expected one declaration",
                        earlier.file, earlier.line
                    );
                    self.problems.push(Problem::new(&origin, path, text));
                    continue;
                }
                first.insert(name, origin.clone());
                let row = row_of(&path, &[fields], &origin);
                let server = self.server(&row, site);
                servers.extend(server.map(|server| (server, origin)));
            }
        }
        self.addresses(&servers);
        servers.into_iter().map(|(server, _)| server).collect()
    }

    /// Checks one server.
    fn server(&mut self, row: &Row<'_>, site: Option<&DataCentreId>) -> Option<Server> {
        let name = row.path.rsplit('.').next().unwrap_or_default();
        let service = self.keep(row.get("service"));
        let address = self.keep(row.get::<SocketAddr>("address"));
        let data_centre = match site {
            Some(site) => Some(site.clone()),
            None => self.keep(row.get("data_centre")),
        };
        self.references(row);
        Some(Server {
            id: name.try_into().ok()?,
            service: service?,
            data_centre: data_centre?,
            address: address?,
        })
    }

    /// Checks that the service and the data centre of a server are declared.
    fn references(&mut self, row: &Row<'_>) {
        let base = &self.values.base;
        if let Some(service) = row.raw("service")
            && !is_declared(base, "services", service)
        {
            let path = join(&row.path, "service");
            self.problems
                .push(unknown_service(row.origin_of("service"), &path, service));
        }
        if let Some(site) = row.raw("data_centre")
            && !is_declared(base, "data_centres", site)
        {
            let text = format!("found `{site}`, expected a data centre of the base file");
            self.problems.push(row.clash("data_centre", &text));
        }
    }

    /// Checks that no two servers have the same address.
    fn addresses(&mut self, servers: &[(Server, Origin)]) {
        let mut first: BTreeMap<SocketAddr, &Server> = BTreeMap::new();
        for (server, origin) in servers {
            if let Some(earlier) = first.insert(server.address, server) {
                let path = format!("servers.{}.address", server.id);
                let text = format!(
                    "found {}, which server `{}` has too; expected one server an address",
                    server.address, earlier.id
                );
                self.problems.push(Problem::new(origin, path, text));
            }
        }
    }
}

/// Tells whether the base file has an entity of this name.
fn is_declared(base: &Fields, section: &str, name: &str) -> bool {
    let prefix = format!("{section}.{name}.");
    base.values
        .range(prefix.clone()..)
        .next()
        .is_some_and(|(path, _)| path.starts_with(&prefix))
}

/// Makes the problem of a reference to a service that is not declared.
fn unknown_service(origin: &Origin, path: &str, name: &str) -> Problem {
    let text = format!("found `{name}`, expected a service of the base file");
    Problem::new(origin, path, text)
}
