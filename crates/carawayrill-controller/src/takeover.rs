//! The I/O around [`TakeoverTable`], which carries out changes of assignments.
//!
//! Inputs are applied to the table one at a time. Each action that the table returns runs as its
//! own task, whose result is applied as another input.

use std::net::SocketAddr;
use std::time::Duration;

use carawayrill_config::deployment::Deployment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::Version;
use carawayrill_core::object::block_name;
use carawayrill_core::order::Order;
use carawayrill_core::ownership::evidence::AssignmentRef;
use carawayrill_core::ownership::limits::Limits;
use carawayrill_core::ownership::takeover::Action;
use carawayrill_core::ownership::takeover::Input;
use carawayrill_core::ownership::takeover::TakeoverTable;
use carawayrill_core::placement::BalanceConfig;
use carawayrill_core::time::Time;
use serde::Serialize;

use crate::Error;
use crate::announce::announce;
use crate::blocks::BlockWrite;
use crate::blocks::WriteOutcome;
use crate::blocks::write_block;
use crate::leader::Leader;
use crate::state::Tables;
use crate::view::decode;

/// Timeout of a call that sends orders to a server.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for in-flight requests of a planned move if the service is unknown.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(30);
/// Name of the table in recorded inputs.
const TABLE_NAME: &str = "takeover";

/// A recorded input with the time at which it was applied.
#[derive(Debug, Serialize)]
struct TimedInput<'a> {
    now: Time,
    #[serde(flatten)]
    input: &'a Input,
}

impl Tables {
    /// Creates the takeover table if there is none, and applies the services' policies to it.
    ///
    /// To be called when this controller becomes the leader and when the configuration changes.
    /// Returns the actions to run.
    pub fn configure_takeover(&mut self, now: Time, leader: &Leader) -> Vec<Action> {
        let Some(deployment) = self.view.deployment.clone() else {
            return Vec::new();
        };
        let limits = Limits::from(&deployment.timing);
        let me = leader.state.me.clone();
        let table = self
            .takeover
            .get_or_insert_with(|| TakeoverTable::new(me, limits));
        let mut actions = Vec::new();
        for service in &deployment.services {
            let policy = service.policy(&deployment.timing);
            let service = service.id.clone();
            actions.extend(apply_input(table, now, Input::Policy { service, policy }));
        }
        actions.extend(apply_input(table, now, Input::Leading { leading: true }));
        actions
    }
}

/// Records an input and applies it to the table.
fn apply_input(table: &mut TakeoverTable, now: Time, input: Input) -> Vec<Action> {
    let recorded = TimedInput { now, input: &input };
    carawayrill_telemetry::emit_input(TABLE_NAME, &recorded);
    table.input(now, input)
}

impl Leader {
    /// Applies one input to the table and starts the resulting actions.
    pub fn takeover_input(&self, input: Input) {
        let now = self.state.now();
        let actions = match self.state.tables().takeover.as_mut() {
            Some(table) => apply_input(table, now, input),
            None => Vec::new(),
        };
        self.spawn_actions(actions);
    }

    /// Advances the table to the present time and starts the resulting actions.
    pub fn takeover_tick(&self) {
        let now = self.state.now();
        let actions = match self.state.tables().takeover.as_mut() {
            Some(table) => table.tick(now),
            None => Vec::new(),
        };
        self.spawn_actions(actions);
    }

    /// Starts each action as its own task.
    pub fn spawn_actions(&self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Emit { kind } = action {
                carawayrill_telemetry::emit(kind);
                continue;
            }
            let leader = self.clone();
            tokio::spawn(async move {
                match leader.perform(action).await {
                    Ok(Some(input)) => leader.takeover_input(input),
                    Ok(None) => {}
                    Err(err) => log::warn!("takeover action failed: {err}"),
                }
            });
        }
    }

    /// Performs one action and returns the resulting input.
    async fn perform(&self, action: Action) -> Result<Option<Input>, Error> {
        match action {
            Action::ReadBlock { block } => self.read_block(block).await.map(Some),
            Action::WriteBlock { expected, block } => {
                Ok(Some(self.put_block(expected, block).await))
            }
            Action::Order { server, orders } => self.order(&server, orders).await.map(Some),
            Action::AskRelease { router, rows } => self.ask_release(&router, &rows).await.map(Some),
            Action::AskPromise { router, rows } => self.ask_promise(&router, &rows).await.map(Some),
            Action::Emit { kind } => {
                carawayrill_telemetry::emit(kind);
                Ok(None)
            }
        }
    }

    /// Reads a block by a linearizable read, and announces its intents before returning it.
    async fn read_block(&self, id: BlockId) -> Result<Input, Error> {
        let Some(object) = self.store.get(&block_name(&id)).await? else {
            let (version, block) = (Version(0), Block::empty(id));
            return Ok(Input::Block { version, block });
        };
        let block: Block = decode(&object)?;
        let version = object.version;
        self.announce(version, &block).await?;
        self.state.tables().view.set_block(version, block.clone());
        Ok(Input::Block { version, block })
    }

    /// Writes a block. After any failure, the table reads the block again.
    async fn put_block(&self, expected: Version, block: Block) -> Input {
        let id = block.id.clone();
        let changed = Vec::new();
        let write = BlockWrite {
            expected,
            block,
            changed,
        };
        match write_block(&*self.store, &write).await {
            Ok(WriteOutcome::Written(version)) => {
                if let Err(err) = self.announce(version, &write.block).await {
                    log::warn!("could not announce the intents of block {id}: {err}");
                    return Input::WriteFailed { block: id };
                }
                self.state.tables().view.set_block(version, write.block);
                Input::Written { block: id, version }
            }
            Ok(WriteOutcome::Conflict(_)) => Input::WriteFailed { block: id },
            Err(err) => {
                log::warn!("could not write block {id}: {err}");
                Input::WriteFailed { block: id }
            }
        }
    }

    /// Announces the intents of a block, unless the block has none or this version was announced.
    ///
    /// This runs before the block is passed to the table. So the table measures waiting times and
    /// requests evidence only once an intent is announced.
    async fn announce(&self, version: Version, block: &Block) -> Result<(), Error> {
        let is_announced = self.state.tables().announced.get(&block.id) == Some(&version);
        if block.intents.is_empty() || is_announced {
            return Ok(());
        }
        announce(&*self.store).await?;
        self.state
            .tables()
            .announced
            .insert(block.id.clone(), version);
        Ok(())
    }

    /// Sends orders to a server and returns its reply as input.
    async fn order(&self, server: &ServerId, orders: Vec<Order>) -> Result<Input, Error> {
        let address = self.server_address(server)?;
        let sent = self.state.now();
        let reply = self
            .servers
            .order(address, orders.clone(), ORDER_TIMEOUT)
            .await?;
        Ok(Input::OrderReply {
            sent,
            orders,
            reply,
        })
    }

    /// Asks a home to release shards.
    async fn ask_release(&self, router: &RouterId, rows: &[AssignmentRef]) -> Result<Input, Error> {
        let address = self.router_address(router)?;
        let drain = self.max_drain_time(rows);
        let (responder, rows) = self.routers.release(address, rows, drain).await?;
        Ok(Input::ReleaseReply {
            router: responder.router,
            incarnation: responder.incarnation,
            rows,
        })
    }

    /// Asks a standby home for its promise.
    async fn ask_promise(&self, router: &RouterId, rows: &[AssignmentRef]) -> Result<Input, Error> {
        let address = self.router_address(router)?;
        let (responder, rows) = self.routers.promise(address, rows).await?;
        Ok(Input::StandbyReply {
            router: responder.router,
            incarnation: responder.incarnation,
            rows,
        })
    }

    fn server_address(&self, server: &ServerId) -> Result<SocketAddr, Error> {
        let deployment = self.state.tables().view.deployment.clone();
        let row = deployment.as_ref().and_then(|all| all.server(server));
        row.map(|row| row.address)
            .ok_or_else(|| Error::object(server.as_str(), "the server is not declared"))
    }

    fn router_address(&self, router: &RouterId) -> Result<SocketAddr, Error> {
        let tables = self.state.tables();
        let entry = tables.view.members.get(router);
        entry
            .map(|entry| entry.member.peer)
            .ok_or_else(|| Error::router(format_args!("{router} has no member entry in the store")))
    }

    /// Returns the maximum time that in-flight requests of these shards may still take.
    fn max_drain_time(&self, rows: &[AssignmentRef]) -> Duration {
        let deployment = self.state.tables().view.deployment.clone();
        let limits = rows.iter().filter_map(|row| {
            let service = deployment.as_ref()?.service(&row.shard.service)?;
            Some(service.max_deadline.0)
        });
        limits.max().unwrap_or(DEFAULT_DRAIN_TIME)
    }
}

/// Returns the balance limits for a configuration.
///
/// A key that was split out of its range may move only after all requests that were sent under the
/// range have ended, so `cooldown` is at least the longest deadline plus the authority time.
#[must_use]
pub fn balance_config(deployment: &Deployment) -> BalanceConfig {
    let config = BalanceConfig::default();
    let services = deployment.services.iter();
    let longest = services.map(|service| service.max_deadline.0).max();
    let max_request_time = longest.unwrap_or_default() + deployment.timing.authority.0;
    let cooldown = config.cooldown.max(max_request_time);
    config.cooldown(cooldown)
}
