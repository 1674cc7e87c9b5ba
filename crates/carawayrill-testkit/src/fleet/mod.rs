//! Runs a whole deployment as separate processes on loopback: stand-ins, routers and controllers.
//!
//! The processes run the binaries of this workspace, found in the directory of the current
//! program. Each process writes its event lines to its own file in the fleet's directory. Signals
//! go only to the ids of child processes. Dropping the [`Fleet`] kills all processes that still
//! run.

pub mod ports;
pub mod process;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use carawayrill_config::deployment::Deployment;
use carawayrill_core::id::DataCentreId;

pub use crate::fleet::ports::free_address;
use crate::fleet::process::Process;

/// An error from starting, signalling or watching processes.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// The `stop_grace` setting of routers and controllers: how long a graceful shutdown may take.
const STOP_GRACE: &str = "10s";

/// The name, location and addresses of one router.
#[derive(Debug, Clone)]
pub struct RouterEndpoints {
    /// The id of the router, which is also the name of its process.
    pub name: String,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// The HTTP address for callers.
    pub http: SocketAddr,
    /// The address for other routers and controllers.
    pub peer: SocketAddr,
}

/// The number of processes in a fleet, and their options.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    routers_per_data_centre: usize,
    controllers: usize,
    server_options: Vec<String>,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            routers_per_data_centre: 1,
            controllers: 2,
            server_options: Vec::new(),
        }
    }
}

impl FleetConfig {
    /// Sets the number of routers in each data centre. 1 by default.
    #[must_use]
    pub fn routers_per_data_centre(mut self, count: usize) -> Self {
        self.routers_per_data_centre = count;
        self
    }

    /// Sets the number of controllers. 2 by default.
    #[must_use]
    pub fn controllers(mut self, count: usize) -> Self {
        self.controllers = count;
        self
    }

    /// Adds a command-line argument for each stand-in server process.
    #[must_use]
    pub fn server_option(mut self, option: impl Into<String>) -> Self {
        self.server_options.push(option.into());
        self
    }
}

/// The processes of a running deployment.
#[derive(Debug)]
pub struct Fleet {
    dir: PathBuf,
    cfg: FleetConfig,
    store: SocketAddr,
    vms: SocketAddr,
    routers: BTreeMap<String, RouterEndpoints>,
    processes: BTreeMap<String, Process>,
}

impl Fleet {
    /// Starts the stand-ins, routers and controllers of a deployment. Settings and logs are written
    /// to `dir`, which is created if it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written or a process can't be started.
    pub fn start(dir: &Path, deployment: &Deployment, cfg: FleetConfig) -> Result<Self, Error> {
        fs::create_dir_all(dir)?;
        let mut fleet = Self {
            dir: dir.to_owned(),
            cfg,
            store: free_address()?,
            vms: free_address()?,
            routers: BTreeMap::new(),
            processes: BTreeMap::new(),
        };
        fleet.start_store_and_vms()?;
        for dc in &deployment.data_centres {
            fleet.start_servers(deployment, &dc.id)?;
        }
        for dc in &deployment.data_centres {
            for index in 0..fleet.cfg.routers_per_data_centre {
                fleet.start_router(&format!("r-{}-{index}", dc.id), &dc.id)?;
            }
        }
        for index in 0..fleet.cfg.controllers {
            let dc = &deployment.data_centres[index % deployment.data_centres.len()].id;
            fleet.start_controller(&format!("c-{index}"), dc)?;
        }
        Ok(fleet)
    }

    fn start_store_and_vms(&mut self) -> Result<(), Error> {
        let store = self.store.to_string();
        let vms = self.vms.to_string();
        self.spawn("store", "standin-store", &["--listen", &store])?;
        self.spawn("vms", "standin-vms", &["--listen", &vms])
    }

    /// Starts one process for all servers of a service in a data centre, so that they can fail
    /// together.
    fn start_servers(&mut self, deployment: &Deployment, dc: &DataCentreId) -> Result<(), Error> {
        for service in &deployment.services {
            let is_local = |server: &&carawayrill_config::deployment::Server| {
                server.service == service.id && server.data_centre == *dc
            };
            let servers: Vec<_> = deployment.servers.iter().filter(is_local).collect();
            if servers.is_empty() {
                continue;
            }
            let mut args = vec![
                "--slots".to_owned(),
                service.slots.to_string(),
                "--connections".to_owned(),
                service.connections.to_string(),
            ];
            if !service.fencing {
                args.push("--no-fencing".to_owned());
            }
            for server in servers {
                args.push("--server".to_owned());
                args.push(format!("{}={}", server.id, server.address));
            }
            args.extend(self.cfg.server_options.iter().cloned());
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            self.spawn(
                &format!("servers-{dc}-{}", service.id),
                "standin-server",
                &args,
            )?;
        }
        Ok(())
    }

    /// Starts a router. A restarted router keeps its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if its settings can't be written or it can't be started.
    pub fn start_router(&mut self, name: &str, dc: &DataCentreId) -> Result<(), Error> {
        let endpoints = match self.routers.get(name) {
            Some(endpoints) => endpoints.clone(),
            None => RouterEndpoints {
                name: name.to_owned(),
                data_centre: dc.clone(),
                http: free_address()?,
                peer: free_address()?,
            },
        };
        let settings = format!(
            "router: {name}\ndata_centre: {dc}\nhttp: {}\npeer: {}\nstore: http://{}\n\
             vm_list: http://{}\nstop_grace: {STOP_GRACE}\n",
            endpoints.http, endpoints.peer, self.store, self.vms
        );
        self.routers.insert(name.to_owned(), endpoints);
        let path = self.write(&format!("{name}.yaml"), &settings)?;
        self.spawn(name, "carawayrill-router", &["--settings", &path])
    }

    /// Starts a controller.
    ///
    /// # Errors
    ///
    /// Returns an error if its settings can't be written or it can't be started.
    pub fn start_controller(&mut self, name: &str, dc: &DataCentreId) -> Result<(), Error> {
        let settings = format!(
            "controller: {name}\ndata_centre: {dc}\npeer: {}\nstore: http://{}\n\
             vm_list: http://{}\nstop_grace: {STOP_GRACE}\n",
            free_address()?,
            self.store,
            self.vms
        );
        let path = self.write(&format!("{name}.yaml"), &settings)?;
        self.spawn(name, "carawayrill-controller", &["--settings", &path])
    }

    fn write(&self, name: &str, text: &str) -> Result<String, Error> {
        let path = self.dir.join(name);
        fs::write(&path, text)?;
        Ok(path.to_string_lossy().into_owned())
    }

    fn spawn(&mut self, name: &str, program: &str, args: &[&str]) -> Result<(), Error> {
        let process = Process::start(&self.dir, name, program, args)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Returns the address of the stand-in store.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.store
    }

    /// Returns the address of the stand-in VM list.
    #[must_use]
    pub fn vms(&self) -> SocketAddr {
        self.vms
    }

    /// Returns all routers that were ever started, including those that have ended.
    #[must_use]
    pub fn routers(&self) -> Vec<RouterEndpoints> {
        self.routers.values().cloned().collect()
    }

    /// Returns the names of the processes that were neither killed nor waited for.
    #[must_use]
    pub fn running(&self) -> Vec<String> {
        let running = self
            .processes
            .iter()
            .filter(|(_, process)| process.is_started());
        running.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the process `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no process of that name.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, Error> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| format!("unknown process `{name}`").into())
    }

    /// Checks that no process has exited on its own.
    ///
    /// # Errors
    ///
    /// Returns an error with the last log line of a process that has exited, for example because
    /// its address is in use.
    pub fn check(&mut self) -> Result<(), Error> {
        self.processes.values_mut().try_for_each(Process::check)
    }

    /// Returns the paths of the log files of all processes.
    #[must_use]
    pub fn logs(&self) -> Vec<PathBuf> {
        self.processes
            .values()
            .map(|process| process.log().to_owned())
            .collect()
    }

    /// Shuts all processes down gracefully: controllers and routers first, the stand-ins last.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not exit within `limit` or exits with a failure status.
    pub fn stop(&mut self, limit: Duration) -> Result<(), Error> {
        let names = self.running();
        let (stand_ins, routers_and_controllers): (Vec<_>, Vec<_>) = names
            .into_iter()
            .partition(|name| name == "store" || name == "vms" || name.starts_with("servers-"));
        for group in [routers_and_controllers, stand_ins] {
            for name in &group {
                self.process(name)?.terminate()?;
            }
            for name in &group {
                self.process(name)?.wait(limit)?;
            }
        }
        Ok(())
    }
}
