//! The tasks of the daemon: renewing the lease, watching the store, and planning while leading.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::id::Revision;
use carawayrill_core::object::ASSIGNMENTS;
use carawayrill_core::object::CONFIG_HEAD;
use carawayrill_core::object::DRAINS;
use carawayrill_core::object::LEASES;
use carawayrill_core::object::MEMBERS;
use carawayrill_core::object::member_name;
use carawayrill_core::ownership::takeover::Action;
use carawayrill_core::ownership::takeover::Input;
use carawayrill_core::placement::Step;
use carawayrill_core::time::Time;
use carawayrill_store::port::Changes;
use carawayrill_store::port::ObjectStore;
use carawayrill_store::port::ServerControl;
use carawayrill_store::port::VmList;
use carawayrill_store::port::VmState;
use compact_str::CompactString;
use compact_str::format_compact;
use tokio::time::sleep;

use crate::Error;
use crate::blocks::BlockWrite;
use crate::blocks::WriteOutcome;
use crate::blocks::events;
use crate::blocks::write_block;
use crate::config::ConfigSource;
use crate::lease::LeaseRead;
use crate::planner::Planner;
use crate::router_control::RouterControl;
use crate::state::State;
use crate::takeover::balance_config;
use crate::view::decode;

/// The prefixes of the store that a leader watches.
pub const WATCHED_PREFIXES: [&str; 4] = [ASSIGNMENTS, MEMBERS, DRAINS, CONFIG_HEAD];
/// Maximum time that a watch of the store waits for changes. If its answer is lost, nothing is learned
/// before this time and the timeout of a call are over.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a task checks whether this controller is the leader.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between reads of the list of VMs. The list itself lags by more than that.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// The daemon: its tables and the clients of external systems.
#[derive(Debug, Clone)]
pub struct Leader {
    /// The tables.
    pub state: Arc<State>,
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// The source of the configuration.
    pub config: Arc<dyn ConfigSource>,
    /// Client that sends orders to servers.
    pub servers: Arc<dyn ServerControl>,
    /// Client that calls routers.
    pub routers: Arc<dyn RouterControl>,
    /// Index of the block of control work whose lease this controller competes for.
    pub block: u32,
}

impl Leader {
    /// Returns the name of the lease object.
    fn lease_name(&self) -> CompactString {
        format_compact!("{LEASES}{}", self.block)
    }

    /// Renews the lease, or tries to acquire it, in an endless loop.
    pub async fn maintain_lease(&self) {
        loop {
            let interval = self.state.tables().lease.refresh_interval();
            if let Err(err) = self.refresh_lease().await {
                log::warn!("could not refresh the lease: {err}");
            }
            self.update_leadership();
            sleep(interval).await;
        }
    }

    /// Reads the lease, and writes it if it is held or can be acquired.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached, if the stored lease can't be decoded, or if another
    /// writer was first. The next read shows whether a write with an unknown outcome took effect.
    pub async fn refresh_lease(&self) -> Result<(), Error> {
        let name = self.lease_name();
        let object = self.store.get(&name).await?;
        let found = object.map(|object| {
            let version = object.version;
            decode(&object).map(|lease| LeaseRead { version, lease })
        });
        let now = self.state.now();
        let put = self.state.tables().lease.on_read(now, found.transpose()?);
        let Some(put) = put else { return Ok(()) };
        let value = serde_json::to_vec(&put.lease).map_err(|err| Error::object(&name, err))?;
        let version = self
            .store
            .put(&name, Bytes::from(value), put.expected)
            .await?;
        let now = self.state.now();
        self.state.tables().lease.on_written(now, version);
        Ok(())
    }

    /// Releases the lease at a planned stop, so that another controller need not wait until it
    /// expires.
    pub async fn release_lease(&self) {
        let expected = self.state.tables().lease.release();
        let Some(expected) = expected else { return };
        if let Err(err) = self.store.delete(&self.lease_name(), expected).await {
            log::warn!("could not release the lease: {err}");
        }
    }

    /// Updates the leadership of this controller from the lease.
    pub fn update_leadership(&self) {
        let now = self.state.now();
        let mut tables = self.state.tables();
        if tables.update_leadership(now) {
            log::info!("leading: {}", tables.leading_since.is_some());
        }
    }

    /// Watches one prefix of the store while this controller leads, in an endless loop.
    pub async fn watch(&self, prefix: &'static str) {
        let mut after = Revision(0);
        loop {
            if !self.is_leading() {
                after = Revision(0);
                sleep(IDLE_POLL_INTERVAL).await;
                continue;
            }
            if !self.state.tables().synced.contains(prefix) {
                after = Revision(0);
            }
            match self.watch_once(prefix, after).await {
                Ok(revision) => after = revision,
                Err(err) => {
                    log::warn!("watch of {prefix} failed: {err}");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits for one response of a watch and applies it. Returns the revision to continue from.
    async fn watch_once(&self, prefix: &'static str, after: Revision) -> Result<Revision, Error> {
        let leading_since = self.state.tables().leading_since;
        let watch = self.store.watch(prefix, after, WATCH_TIMEOUT);
        let changes = tokio::select! {
            changes = watch => changes?,
            () = self.leadership_changed(leading_since) => return Ok(Revision(0)),
        };
        if prefix == CONFIG_HEAD && !changes.objects.is_empty() {
            self.load_config().await?;
        }
        self.apply_changes(prefix, &changes);
        let mut tables = self.state.tables();
        if leading_since.is_some() && tables.leading_since == leading_since {
            tables.synced.insert(prefix);
        }
        Ok(changes.revision)
    }

    /// Waits until the leadership of this controller differs from `leading_since`.
    async fn leadership_changed(&self, leading_since: Option<Time>) {
        while self.state.tables().leading_since == leading_since {
            sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Applies the objects of a watch response to the tables.
    fn apply_changes(&self, prefix: &str, changes: &Changes) {
        let now = self.state.now();
        let mut tables = self.state.tables();
        for object in &changes.objects {
            if let Err(err) = tables.view.apply(now, object) {
                log::error!("could not apply a change of {prefix}: {err}");
            }
        }
    }

    /// Loads the configuration in force. An older generation never replaces a newer one.
    async fn load_config(&self) -> Result<(), Error> {
        let Some(deployment) = self.config.read().await? else {
            return Ok(());
        };
        let mut tables = self.state.tables();
        let known = tables.view.deployment.as_ref();
        if known.is_some_and(|old| old.generation >= deployment.generation) {
            return Ok(());
        }
        tables
            .lease
            .set_duration(deployment.timing.controller_lease.0);
        carawayrill_telemetry::emit(carawayrill_core::event::EventKind::ConfigInForce {
            generation: deployment.generation,
        });
        tables.view.deployment = Some(Arc::new(deployment));
        tables.view.change_count += 1;
        if tables.takeover.is_some() {
            let actions = tables.configure_takeover(self.state.now(), self);
            drop(tables);
            self.spawn_actions(actions);
        }
        Ok(())
    }

    /// Polls the list of VMs while this controller leads, in an endless loop.
    pub async fn poll_vms(&self, vms: Arc<dyn VmList>) {
        loop {
            sleep(VM_LIST_INTERVAL).await;
            if !self.is_leading() {
                continue;
            }
            match vms.vms().await {
                Ok(list) => {
                    let stopping = list.into_iter().filter(|vm| vm.state == VmState::Leaving);
                    self.state.tables().stopping_vms = stopping.map(|vm| vm.name).collect();
                }
                Err(err) => log::warn!("could not read the list of VMs: {err}"),
            }
        }
    }

    /// Updates the leadership and runs a tick at each interval, in an endless loop.
    pub async fn run_ticks(&self) {
        loop {
            sleep(TICK_INTERVAL).await;
            self.update_leadership();
            self.tick().await;
        }
    }

    /// Advances the takeover table, makes a plan, and carries it out.
    pub async fn tick(&self) {
        self.start_takeover();
        self.takeover_tick();
        let now = self.state.now();
        let wall = carawayrill_telemetry::wall_now();
        let plan = self.state.tables().plan(now, wall);
        for step in &plan.moves {
            log::info!("{}", Step::Move(step.clone()));
        }
        for row in &plan.degraded {
            log::warn!("degraded placement of {}: {}", row.shard, row.shortfall);
        }
        for change in plan.changes {
            self.takeover_input(Input::Wanted { change, wall });
        }
        self.write_blocks(&plan.writes).await;
        for (router, version) in plan.expired_members {
            if let Err(err) = self.store.delete(&member_name(&router), version).await {
                log::warn!("could not delete the member entry of {router}: {err}");
            }
        }
    }

    /// Creates the takeover table once this controller leads and has read the store, and resumes
    /// the changes that the previous leader left unfinished.
    fn start_takeover(&self) {
        let now = self.state.now();
        let (actions, with_intents) = {
            let mut tables = self.state.tables();
            if tables.takeover.is_some() || !tables.is_ready(now) {
                return;
            }
            let tables = &mut *tables;
            if let Some(deployment) = &tables.view.deployment {
                tables.planner = Planner::new(balance_config(deployment));
            }
            tables.planner.on_leading(now, &tables.view);
            let blocks = tables.view.blocks.values();
            let with_intents = blocks.filter(|block| !block.value.intents.is_empty());
            let with_intents: Vec<BlockId> =
                with_intents.map(|block| block.value.id.clone()).collect();
            (tables.configure_takeover(now, self), with_intents)
        };
        self.spawn_actions(actions);
        let reads = with_intents
            .into_iter()
            .map(|block| Action::ReadBlock { block });
        self.spawn_actions(reads.collect());
    }

    /// Writes blocks one after the other, and stops at the first failure of the store.
    async fn write_blocks(&self, writes: &[BlockWrite]) {
        for write in writes {
            if let Err(err) = self.write_one(write).await {
                log::warn!("could not write block {}: {err}", write.block.id);
                sleep(RETRY_DELAY).await;
                return;
            }
        }
    }

    /// Writes one block and applies the result to the tables.
    async fn write_one(&self, write: &BlockWrite) -> Result<(), Error> {
        let result = write_block(&*self.store, write).await?;
        let mut tables = self.state.tables();
        match result {
            WriteOutcome::Written(version) => {
                for event in events(write, version) {
                    carawayrill_telemetry::emit(event);
                }
                tables.view.set_block(version, write.block.clone());
            }
            WriteOutcome::Conflict(Some((version, block))) => tables.view.set_block(version, block),
            WriteOutcome::Conflict(None) => {}
        }
        Ok(())
    }

    /// Returns whether this controller is the leader now.
    fn is_leading(&self) -> bool {
        let now = self.state.now();
        let tables = self.state.tables();
        tables.leading_since.is_some() && tables.lease.is_held(now)
    }
}
