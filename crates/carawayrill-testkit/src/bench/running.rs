//! A deployment that runs as separate processes, for load and fault injection.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use carawayrill_config::ConfigFiles;
use carawayrill_config::accept;
use carawayrill_config::accept::Edit;
use carawayrill_config::accept::RetryPolicy;
use carawayrill_config::deployment::Deployment;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::id::Generation;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::ServiceId;
use carawayrill_core::route::RouteTable;
use carawayrill_store::http_store::HttpStore;
use carawayrill_telemetry::wall_now;
use compact_str::CompactString;
use compact_str::format_compact;

use crate::bench::probe;
use crate::bench::probe::KeyProbe;
use crate::bench::shape::Shape;
use crate::bench::state;
use crate::fleet::Error;
use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::RouterEndpoints;
use crate::load::check;
use crate::server::records::Run;

/// Time limit from the start of the processes until a key of each shard is answered.
const START_TIMEOUT: Duration = Duration::from_mins(1);
/// Time limit for the graceful stop of all processes.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of keys that [`Bench::keys`] tries for each service.
const MAX_KEYS_TRIED: u32 = 100_000;

/// Retry policy that gives up at the first failure, as the store of a new bench has no faults.
#[derive(Debug)]
struct NoRetry;

#[async_trait]
impl RetryPolicy for NoRetry {
    async fn wait(&self, _attempt: u32) -> bool {
        false
    }
}

/// A deployment that runs as separate processes.
#[derive(Debug)]
pub struct Bench {
    /// Processes of the deployment.
    pub fleet: Fleet,
    /// Settings of the deployment.
    pub deployment: Deployment,
    shape: Shape,
    dir: PathBuf,
}

impl Bench {
    /// Starts a deployment in `dir` and waits until a key of each shard is answered.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or a key is not answered in time.
    pub async fn start(dir: &Path, shape: &Shape, cfg: FleetConfig) -> Result<Self, Error> {
        fs::create_dir_all(dir)?;
        let deployment = shape.write(&dir.join("deployment"))?;
        let runs = dir.join("runs.jsonl");
        let cfg = cfg
            .server_option("--record-file")
            .server_option(runs.to_string_lossy());
        let mut bench = Self {
            fleet: Fleet::start(&dir.join("fleet"), &deployment, cfg)?,
            deployment,
            shape: shape.clone(),
            dir: dir.to_owned(),
        };
        bench.apply().await?;
        bench.fleet.check()?;
        for router in bench.fleet.routers() {
            state::wait_ready(router.http, START_TIMEOUT).await?;
        }
        bench.fleet.check()?;
        bench.wait_answered().await?;
        Ok(bench)
    }

    /// Applies the configuration of the deployment.
    async fn apply(&self) -> Result<(), Error> {
        state::wait_store(self.fleet.store(), START_TIMEOUT).await?;
        let store = HttpStore::new(self.fleet.store())?;
        let edit = Edit {
            from: Generation(0),
            files: ConfigFiles::read(&self.dir.join("deployment"))?,
            by: "bench".into(),
        };
        accept::propose(&store, &edit, wall_now(), &NoRetry).await?;
        Ok(())
    }

    /// Waits until every shard has an owner and a key of each is answered.
    async fn wait_answered(&self) -> Result<(), Error> {
        let began = Instant::now();
        let expected_count = self.shape.services.len() * self.shape.shards as usize;
        while self.routes().await?.rows().count() < expected_count {
            if began.elapsed() > START_TIMEOUT {
                return Err("some shards have no owner".into());
            }
            tokio::time::sleep(state::POLL_INTERVAL).await;
        }
        let keys = self.keys(|_row| true, 1).await?;
        let entries = self.entries();
        probe::wait_all_answered(&entries, &keys, START_TIMEOUT).await?;
        Ok(())
    }

    /// Reads the current assignments from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn routes(&self) -> Result<RouteTable, Error> {
        state::routes(self.fleet.store()).await
    }

    /// Returns the addresses at which clients reach the routers.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let routers = self.fleet.routers();
        routers.iter().map(|router| router.http).collect()
    }

    /// Returns the router named `name`.
    ///
    /// # Errors
    ///
    /// Fails if there is no such router.
    pub fn router(&self, name: &str) -> Result<RouterEndpoints, Error> {
        let mut routers = self.fleet.routers().into_iter();
        routers
            .find(|router| router.name == name)
            .ok_or_else(|| format!("the deployment has no router `{name}`").into())
    }

    /// Returns the addresses at which clients reach all routers except those in `lost`.
    #[must_use]
    pub fn entries_without(&self, lost: &[String]) -> Vec<SocketAddr> {
        let routers = self.fleet.routers().into_iter();
        routers
            .filter(|router| !lost.contains(&router.name))
            .map(|router| router.http)
            .collect()
    }

    /// Finds `keys_per_shard` keys for each shard whose assignment matches `predicate`.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn keys(
        &self,
        predicate: impl Fn(&Assignment) -> bool,
        keys_per_shard: usize,
    ) -> Result<Vec<KeyProbe>, Error> {
        let routes = self.routes().await?;
        let mut found = Vec::new();
        for service in &self.shape.services {
            let id: ServiceId = service.name.parse()?;
            let mut counts = std::collections::HashMap::new();
            for number in 0..MAX_KEYS_TRIED {
                if counts.len() == self.shape.shards as usize
                    && counts.values().all(|count| *count >= keys_per_shard)
                {
                    break;
                }
                let key = format_compact!("probe-{number}");
                let Some(assignment) = self.assignment_of(&routes, &id, &key) else {
                    continue;
                };
                let count = counts.entry(assignment.shard.clone()).or_insert(0);
                *count += 1;
                if *count <= keys_per_shard && predicate(&assignment) {
                    found.push(KeyProbe::new(service, key));
                }
            }
        }
        Ok(found)
    }

    /// Returns the assignment of the shard of a key.
    #[must_use]
    pub fn assignment_of(
        &self,
        routes: &RouteTable,
        service: &ServiceId,
        key: &CompactString,
    ) -> Option<Arc<Assignment>> {
        let hash = KeyHash::of(key.as_bytes());
        let shard = routes.shard_of(service, hash, self.shape.shards);
        routes.row(&shard).cloned()
    }

    /// Returns the name of the process in which a server runs.
    ///
    /// # Errors
    ///
    /// Fails if the deployment has no such server.
    pub fn process_of_server(&self, server: &str) -> Result<String, Error> {
        let declared = self.deployment.servers.iter();
        let found = declared.clone().find(|one| one.id.as_str() == server);
        let found = found.ok_or_else(|| format!("the deployment has no server `{server}`"))?;
        Ok(format!("servers-{}-{}", found.data_centre, found.service))
    }

    /// Returns the names of all server and router processes of a data centre.
    #[must_use]
    pub fn processes_in(&self, data_centre: &str) -> Vec<String> {
        let prefixes = [
            format!("servers-{data_centre}-"),
            format!("r-{data_centre}-"),
        ];
        let mut names = self.fleet.running();
        names.retain(|name| prefixes.iter().any(|start| name.starts_with(start)));
        names
    }

    /// Returns all recorded executions, with those on servers that were killed.
    ///
    /// # Errors
    ///
    /// Fails if the record file can't be read.
    pub fn runs(&self) -> Result<Vec<Run>, Error> {
        Ok(check::records_in(&self.dir.join("runs.jsonl"))?)
    }

    /// Waits until a process that was signalled to stop has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process does not end within `limit` or ends with an error.
    pub async fn wait_process(&mut self, name: &str, limit: Duration) -> Result<(), Error> {
        let began = Instant::now();
        while !self.fleet.process(name)?.has_ended()? {
            if began.elapsed() > limit {
                return Err(format!("process {name} did not stop within {limit:?}").into());
            }
            tokio::time::sleep(state::POLL_INTERVAL).await;
        }
        self.fleet.process(name)?.wait(limit)
    }

    /// Stops all processes gracefully.
    ///
    /// # Errors
    ///
    /// Fails if a process does not stop.
    pub fn stop(mut self) -> Result<(), Error> {
        self.fleet.stop(STOP_TIMEOUT)
    }
}
