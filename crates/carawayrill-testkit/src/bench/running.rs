//! A deployment as processes, ready to be loaded and hurt.

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
use carawayrill_config::accept::Backoff;
use carawayrill_config::accept::Edit;
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
use crate::bench::probe::Question;
use crate::bench::shape::Shape;
use crate::bench::state;
use crate::fleet::Error;
use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::RouterPlace;
use crate::load::check;
use crate::server::records::Run;

/// How long a fleet may take until every key is answered.
const START_LIMIT: Duration = Duration::from_mins(1);
/// How long a planned stop of all processes may take.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Keys that are tried when one with a certain property is sought.
const KEYS_TRIED: u32 = 100_000;

/// Gives an edit up at the first failure: the store of a new bench has none.
#[derive(Debug)]
struct NoRepeat;

#[async_trait]
impl Backoff for NoRepeat {
    async fn wait(&self, _attempt: u32) -> bool {
        false
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Bench {
    /// Its processes.
    pub fleet: Fleet,
    /// What it was declared as.
    pub deployment: Deployment,
    shape: Shape,
    dir: PathBuf,
}

impl Bench {
    /// Starts a deployment in `dir` and waits until a key of each shard is answered.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started, or the keys are not answered in time.
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
            state::wait_ready(router.http, START_LIMIT).await?;
        }
        bench.fleet.check()?;
        bench.wait_answered().await?;
        Ok(bench)
    }

    /// Puts the deployment's configuration in force.
    async fn apply(&self) -> Result<(), Error> {
        state::wait_store(self.fleet.store(), START_LIMIT).await?;
        let store = HttpStore::new(self.fleet.store())?;
        let edit = Edit {
            from: Generation(0),
            files: ConfigFiles::read(&self.dir.join("deployment"))?,
            by: "bench".into(),
        };
        accept::propose(&store, &edit, wall_now(), &NoRepeat).await?;
        Ok(())
    }

    /// Waits until every shard has an owner and a key of each is answered.
    async fn wait_answered(&self) -> Result<(), Error> {
        let began = Instant::now();
        let wanted = self.shape.services.len() * self.shape.shards as usize;
        while self.routes().await?.rows().count() < wanted {
            if began.elapsed() > START_LIMIT {
                return Err("some shards have no owner".into());
            }
            tokio::time::sleep(state::POLL).await;
        }
        let keys = self.keys(|_row| true, 1).await?;
        let entries = self.entries();
        probe::all_answered(&entries, &keys, START_LIMIT).await?;
        Ok(())
    }

    /// Returns the assignments now in the store.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn routes(&self) -> Result<RouteTable, Error> {
        state::routes(self.fleet.store()).await
    }

    /// Returns where callers reach the routers.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let routers = self.fleet.routers();
        routers.iter().map(|router| router.http).collect()
    }

    /// Returns the router named `name`.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn router(&self, name: &str) -> Result<RouterPlace, Error> {
        let mut routers = self.fleet.routers().into_iter();
        routers
            .find(|router| router.name == name)
            .ok_or_else(|| format!("no router `{name}`").into())
    }

    /// Returns where callers reach all routers but those named.
    #[must_use]
    pub fn entries_without(&self, lost: &[String]) -> Vec<SocketAddr> {
        let routers = self.fleet.routers().into_iter();
        routers
            .filter(|router| !lost.contains(&router.name))
            .map(|router| router.http)
            .collect()
    }

    /// Finds `each` keys for each shard whose assignment passes `wanted`.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn keys(
        &self,
        wanted: impl Fn(&Assignment) -> bool,
        each: usize,
    ) -> Result<Vec<Question>, Error> {
        let routes = self.routes().await?;
        let mut found = Vec::new();
        for service in &self.shape.services {
            let id: ServiceId = service.name.parse()?;
            let mut counts = std::collections::HashMap::new();
            for number in 0..KEYS_TRIED {
                if counts.len() == self.shape.shards as usize
                    && counts.values().all(|count| *count >= each)
                {
                    break;
                }
                let key = format_compact!("probe-{number}");
                let Some(row) = self.row(&routes, &id, &key) else {
                    continue;
                };
                let count = counts.entry(row.shard.clone()).or_insert(0);
                *count += 1;
                if *count <= each && wanted(&row) {
                    found.push(Question::new(service, key));
                }
            }
        }
        Ok(found)
    }

    /// Returns the assignment of a key.
    #[must_use]
    pub fn row(
        &self,
        routes: &RouteTable,
        service: &ServiceId,
        key: &CompactString,
    ) -> Option<Arc<Assignment>> {
        let hash = KeyHash::of(key.as_bytes());
        let shard = routes.shard_of(service, hash, self.shape.shards);
        routes.row(&shard).cloned()
    }

    /// Returns the name of the process that a server runs in.
    ///
    /// # Errors
    ///
    /// Fails if the server was not declared.
    pub fn process_of_server(&self, server: &str) -> Result<String, Error> {
        let declared = self.deployment.servers.iter();
        let found = declared.clone().find(|one| one.id.as_str() == server);
        let found = found.ok_or_else(|| format!("no server `{server}`"))?;
        Ok(format!("servers-{}-{}", found.data_centre, found.service))
    }

    /// Returns the names of all processes of a data centre.
    #[must_use]
    pub fn processes_in(&self, data_centre: &str) -> Vec<String> {
        let here = [
            format!("servers-{data_centre}-"),
            format!("r-{data_centre}-"),
        ];
        let mut names = self.fleet.running();
        names.retain(|name| here.iter().any(|start| name.starts_with(start)));
        names
    }

    /// Returns all runs on record, also those of servers that were killed.
    ///
    /// # Errors
    ///
    /// Fails if the record can't be read.
    pub fn runs(&self) -> Result<Vec<Run>, Error> {
        Ok(check::records_in(&self.dir.join("runs.jsonl"))?)
    }

    /// Waits until a process that was asked to stop has ended.
    ///
    /// # Errors
    ///
    /// Fails if it has not within `limit`, or ended with an error.
    pub async fn wait_process(&mut self, name: &str, limit: Duration) -> Result<(), Error> {
        let began = Instant::now();
        while !self.fleet.process(name)?.has_ended()? {
            if began.elapsed() > limit {
                return Err(format!("{name} has not stopped within {limit:?}").into());
            }
            tokio::time::sleep(state::POLL).await;
        }
        self.fleet.process(name)?.wait(limit)
    }

    /// Stops all processes by plan.
    ///
    /// # Errors
    ///
    /// Fails if a process does not stop.
    pub fn stop(mut self) -> Result<(), Error> {
        self.fleet.stop(STOP_LIMIT)
    }
}
