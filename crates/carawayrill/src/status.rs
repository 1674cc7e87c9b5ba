//! `status`: shows the generations in force, and the states of routers and servers.

use std::collections::BTreeMap;
use std::process::ExitCode;

use carawayrill_config::accept::AcceptedConfig;
use carawayrill_config::accept::fetch;
use carawayrill_core::assignment::Block;
use carawayrill_core::id::ServerId;
use carawayrill_core::object::ASSIGNMENTS;
use carawayrill_core::object::ControllerLease;
use carawayrill_core::object::DrainOrder;
use carawayrill_store::port::ObjectStore;
use serde_json::Value;
use serde_json::json;

use crate::cli::StatusArgs;
use crate::error::Error;
use crate::key_owner;
use crate::members;
use crate::members::RouterStatus;
use crate::output::print_json;
use crate::output::print_line;
use crate::output::print_table;
use crate::utc::format_utc;

/// The state of the store and of the processes.
#[derive(Debug)]
struct Overview {
    config: Option<AcceptedConfig>,
    routers: Vec<RouterStatus>,
    controllers: Vec<(ControllerLease, Result<Value, String>)>,
    blocks: Vec<Block>,
    drains: Vec<DrainOrder>,
}

/// The numbers of shards that one server owns or is the standby of.
#[derive(Debug, Default, Clone, Copy)]
struct ShardCounts {
    owned: usize,
    standby: usize,
}

/// Runs the subcommand.
pub async fn run(args: &StatusArgs) -> Result<ExitCode, Error> {
    let store = args.store.connect()?;
    let config = fetch(&store).await?;
    match (&args.service, &args.key, &config) {
        (None, None, _) => {}
        (Some(service), Some(key), Some(config)) => {
            key_owner::print_key_owner(&store, config, service, key, args.json).await?;
            return Ok(ExitCode::SUCCESS);
        }
        (Some(_), Some(_), None) => {
            return Err(Error::refused(
                "the store has no configuration yet; create one with `carawayrill apply DIR`",
            ));
        }
        _ => {
            return Err(Error::invalid(
                "--service and --key must be used together, as in `carawayrill status --service forms --key form-17`",
            ));
        }
    }
    let overview = collect_overview(&store, config).await?;
    if args.json {
        print_json(&overview.to_json());
    } else {
        overview.print();
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads the store and requests the status of the processes.
async fn collect_overview(
    store: &dyn ObjectStore,
    config: Option<AcceptedConfig>,
) -> Result<Overview, Error> {
    let routers = members::query_routers(members::list_routers(store).await?).await;
    let mut controllers = Vec::new();
    for lease in members::list_leases(store).await? {
        let page = members::controller_page(lease.peer).await;
        controllers.push((lease, page));
    }
    Ok(Overview {
        config,
        routers,
        controllers,
        blocks: members::read_all(store, ASSIGNMENTS).await?,
        drains: members::list_drain_orders(store).await?,
    })
}

impl Overview {
    /// Counts the shards of each server.
    fn shard_counts(&self) -> BTreeMap<&ServerId, ShardCounts> {
        let mut counts: BTreeMap<&ServerId, ShardCounts> = BTreeMap::new();
        for row in self.blocks.iter().flat_map(|block| &block.rows) {
            counts.entry(&row.owner).or_default().owned += 1;
            if let Some(standby) = &row.standby {
                counts.entry(standby).or_default().standby += 1;
            }
        }
        counts
    }

    /// Returns the state of a server or router according to the leading controller.
    fn state_at_controller(&self, section: &str, name: &str) -> String {
        let pages = self
            .controllers
            .iter()
            .filter_map(|(_, page)| page.as_ref().ok());
        let rows = pages
            .filter_map(|page| page.get(section)?.as_array())
            .flatten();
        let row = rows.into_iter().find(|row| row["id"] == name);
        match row.and_then(|row| row["state"].as_str()) {
            Some(state) => state.to_owned(),
            None => "unknown".to_owned(),
        }
    }

    /// Returns the drain order for `name`.
    fn drain_order(&self, name: &str) -> Option<&DrainOrder> {
        self.drains.iter().find(|order| order.name == name)
    }

    /// Returns the servers with their states and shard counts.
    fn servers(&self) -> Vec<Value> {
        let counts = self.shard_counts();
        let declared = self
            .config
            .iter()
            .flat_map(|config| &config.deployment.servers);
        declared
            .map(|server| {
                let count = counts.get(&server.id).copied().unwrap_or_default();
                json!({
                    "server": server.id,
                    "service": server.service,
                    "data_centre": server.data_centre,
                    "state": self.state_at_controller("servers", server.id.as_str()),
                    "owned": count.owned,
                    "standby": count.standby,
                    "drain": self.drain_order(server.id.as_str()),
                })
            })
            .collect()
    }

    /// Formats the overview as JSON.
    fn to_json(&self) -> Value {
        let config = self.config.as_ref();
        let routers: Vec<Value> = self
            .routers
            .iter()
            .map(|status| json!({"member": status.member, "page": status.page, "silence": status.error}))
            .collect();
        let controllers: Vec<Value> = self
            .controllers
            .iter()
            .map(|(lease, page)| match page {
                Ok(page) => json!({"lease": lease, "page": page}),
                Err(error) => json!({"lease": lease, "silence": error}),
            })
            .collect();
        json!({
            "generation": config.map(|config| config.generation),
            "by": config.map(|config| config.by.as_str()),
            "at": config.map(|config| config.at),
            "routers": routers,
            "controllers": controllers,
            "servers": self.servers(),
            "intents": self.intents(),
            "drains": self.drains,
        })
    }

    /// Counts assignment changes that wait for evidence.
    fn intents(&self) -> usize {
        self.blocks.iter().map(|block| block.intents.len()).sum()
    }

    /// Prints the overview as text.
    fn print(&self) {
        match &self.config {
            Some(config) => print_line(&format!(
                "configuration: generation {}, accepted {} by {}",
                config.generation,
                format_utc(config.at),
                config.by
            )),
            None => print_line(&"configuration: none yet; create one with `carawayrill apply DIR`"),
        }
        self.print_controllers();
        self.print_routers();
        self.print_servers();
        print_line(&format!("changes waiting for evidence: {}", self.intents()));
        for order in &self.drains {
            let since = format_utc(order.since);
            print_line(&format!(
                "drain: {} since {since} ({})",
                order.name, order.reason
            ));
        }
    }

    fn print_controllers(&self) {
        if self.controllers.is_empty() {
            print_line(
                &"controllers: none holds the lease; assignments stay, but no planned moves are made",
            );
        }
        for (lease, page) in &self.controllers {
            let state = match page {
                Ok(page) => format!(
                    "leading {}, generation {}",
                    page["leading"], page["generation"]
                ),
                Err(error) => error.clone(),
            };
            print_line(&format!(
                "controller: {} holds the lease ({state})",
                lease.holder
            ));
        }
    }

    fn print_routers(&self) {
        print_line(&format!("routers: {}", self.routers.len()));
        let header = [
            "router",
            "data centre",
            "state",
            "generation",
            "in flight",
            "home of",
        ];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        for status in &self.routers {
            let name = status.member.router.as_str();
            let (state, numbers) = self.router_cells(status);
            let mut row = vec![
                name.to_owned(),
                status.member.data_centre.to_string(),
                state,
            ];
            row.extend(numbers);
            rows.push(row);
        }
        print_table(&rows);
    }

    /// Returns the table cells of a router: its state, and its generation, requests in flight and
    /// number of shards.
    fn router_cells(&self, status: &RouterStatus) -> (String, [String; 3]) {
        let Some(page) = &status.page else {
            let at_controller = self.state_at_controller("routers", status.member.router.as_str());
            let state = format!(
                "{}, {at_controller} according to the controller",
                status.error
            );
            return (state, ["-", "-", "-"].map(str::to_owned));
        };
        let state = if page.draining { "draining" } else { "serving" };
        let numbers = [
            page.generation.to_string(),
            page.in_flight.to_string(),
            page.assignments.len().to_string(),
        ];
        (state.to_owned(), numbers)
    }

    fn print_servers(&self) {
        let servers = self.servers();
        print_line(&format!("servers: {}", servers.len()));
        let header = [
            "server",
            "service",
            "data centre",
            "state",
            "owns",
            "standby of",
            "order",
        ];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        for server in &servers {
            let text = |name: &str| match &server[name] {
                Value::String(text) => text.clone(),
                value => value.to_string(),
            };
            let order = server["drain"]["reason"].as_str();
            let mut row: Vec<String> = [
                "server",
                "service",
                "data_centre",
                "state",
                "owned",
                "standby",
            ]
            .iter()
            .map(|name| text(name))
            .collect();
            row.push(order.map_or_else(String::new, |reason| format!("drain: {reason}")));
            rows.push(row);
        }
        print_table(&rows);
    }
}
