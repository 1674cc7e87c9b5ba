//! Changes of assignments under way: the I/O around [`TakeoverTable`].
//!
//! Inputs go into the table one at a time; each action that comes out runs as a task of its own,
//! whose result is the next input.

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
use crate::blocks::Written;
use crate::blocks::write_block;
use crate::leader::Leader;
use crate::state::Tables;
use crate::view::read;

/// How long a server may take to answer orders.
const ORDER_WAIT: Duration = Duration::from_millis(500);
/// How long requests in flight may take when a shard moves by plan, if its service is unknown.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// The name of the table in recorded inputs.
const TABLE: &str = "takeover";

/// An input with the time at which it went in, as recorded.
#[derive(Debug, Serialize)]
struct Timed<'a> {
    now: Time,
    #[serde(flatten)]
    input: &'a Input,
}

impl Tables {
    /// Makes the table of changes anew when this controller begins to lead or the configuration
    /// changes, and takes the services' policies in.
    pub fn begin_takeover(&mut self, now: Time, leader: &Leader) -> Vec<Action> {
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
            actions.extend(put(table, now, Input::Policy { service, policy }));
        }
        actions.extend(put(table, now, Input::Leading { leading: true }));
        actions
    }
}

/// Records an input and puts it into the table.
fn put(table: &mut TakeoverTable, now: Time, input: Input) -> Vec<Action> {
    let recorded = Timed { now, input: &input };
    carawayrill_telemetry::emit_input(TABLE, &recorded);
    table.input(now, input)
}

impl Leader {
    /// Puts one input into the table and starts the actions that follow.
    pub fn takeover_input(&self, input: Input) {
        let now = self.state.now();
        let actions = match self.state.tables().takeover.as_mut() {
            Some(table) => put(table, now, input),
            None => Vec::new(),
        };
        self.start(actions);
    }

    /// Runs the systems of the table.
    pub fn takeover_tick(&self) {
        let now = self.state.now();
        let actions = match self.state.tables().takeover.as_mut() {
            Some(table) => table.tick(now),
            None => Vec::new(),
        };
        self.start(actions);
    }

    /// Starts actions, each as a task of its own.
    pub fn start(&self, actions: Vec<Action>) {
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
                    Err(err) => log::warn!("takeover: {err}"),
                }
            });
        }
    }

    /// Carries one action out and returns the input that follows from it.
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

    /// Reads a block linearizably.
    async fn read_block(&self, id: BlockId) -> Result<Input, Error> {
        let Some(object) = self.store.get(&block_name(&id)).await? else {
            let (version, block) = (Version(0), Block::empty(id));
            return Ok(Input::Block { version, block });
        };
        let block: Block = read(&object)?;
        let version = object.version;
        self.announce(version, &block).await?;
        self.state.tables().view.written(version, block.clone());
        Ok(Input::Block { version, block })
    }

    /// Writes a block. A failure of any kind is settled by the table's next read.
    async fn put_block(&self, expected: Version, block: Block) -> Input {
        let id = block.id.clone();
        let changed = Vec::new();
        let write = BlockWrite {
            expected,
            block,
            changed,
        };
        match write_block(&*self.store, &write).await {
            Ok(Written::Done(version)) => {
                if let Err(err) = self.announce(version, &write.block).await {
                    log::warn!("intents of block {id} are not announced: {err}");
                    return Input::WriteFailed { block: id };
                }
                self.state.tables().view.written(version, write.block);
                Input::Written { block: id, version }
            }
            Ok(Written::Lost(_)) => Input::WriteFailed { block: id },
            Err(err) => {
                log::warn!("block {id}: {err}");
                Input::WriteFailed { block: id }
            }
        }
    }

    /// Raises the version of the changes object, unless this version of the block is announced or
    /// has no intent. The table learns of an intent only after that, and so counts time and asks
    /// for evidence only after that.
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

    /// Sends orders to a server.
    async fn order(&self, server: &ServerId, orders: Vec<Order>) -> Result<Input, Error> {
        let address = self.server_address(server)?;
        let sent = self.state.now();
        let reply = self
            .servers
            .order(address, orders.clone(), ORDER_WAIT)
            .await?;
        Ok(Input::OrderReply {
            sent,
            orders,
            reply,
        })
    }

    /// Asks a home to give up shards.
    async fn ask_release(&self, router: &RouterId, rows: &[AssignmentRef]) -> Result<Input, Error> {
        let address = self.router_address(router)?;
        let drain = self.drain_limit(rows);
        let (run, rows) = self.peers.release(address, rows, drain).await?;
        Ok(Input::ReleaseReply {
            router: run.router,
            incarnation: run.incarnation,
            rows,
        })
    }

    /// Asks a standby home for its promise.
    async fn ask_promise(&self, router: &RouterId, rows: &[AssignmentRef]) -> Result<Input, Error> {
        let address = self.router_address(router)?;
        let (run, rows) = self.peers.promise(address, rows).await?;
        Ok(Input::StandbyReply {
            router: run.router,
            incarnation: run.incarnation,
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
        let seen = tables.view.members.get(router);
        seen.map(|seen| seen.member.peer)
            .ok_or_else(|| Error::peer(format_args!("{router} is no member")))
    }

    /// Returns the longest time that requests of these shards may still take.
    fn drain_limit(&self, rows: &[AssignmentRef]) -> Duration {
        let deployment = self.state.tables().view.deployment.clone();
        let limits = rows.iter().filter_map(|row| {
            let service = deployment.as_ref()?.service(&row.shard.service)?;
            Some(service.max_deadline.0)
        });
        limits.max().unwrap_or(DRAIN_LIMIT)
    }
}

/// Returns the balance limits that fit a configuration: a key that was split out may move once all
/// requests that were sent under its range have ended.
#[must_use]
pub fn balance_config(deployment: &Deployment) -> BalanceConfig {
    let config = BalanceConfig::default();
    let services = deployment.services.iter();
    let longest = services.map(|service| service.max_deadline.0).max();
    let ended = longest.unwrap_or_default() + deployment.timing.authority.0;
    let rest = config.rest.max(ended);
    config.rest(rest)
}
