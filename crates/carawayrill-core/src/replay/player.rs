//! The replayed tables of one process.

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::record::ServerInput;
use super::record::Start;
use super::record::is_tick;
use crate::Error;
use crate::event::EventKind;
use crate::hlc::Stamp;
use crate::id::ControllerId;
use crate::id::RouterId;
use crate::id::ShardId;
use crate::ownership::evidence::RouterIncarnation;
use crate::ownership::home;
use crate::ownership::home::HomeTable;
use crate::ownership::home::Permit;
use crate::ownership::server::FenceTable;
use crate::ownership::takeover;
use crate::ownership::takeover::TakeoverTable;
use crate::time::ServerTime;
use crate::time::Time;
use crate::token::Token;

/// The table of a process, by its role.
#[derive(Debug)]
enum Table {
    Home(Box<HomeTable>),
    Takeover(Box<TakeoverTable>),
    Server(FenceTable),
}

/// The replayed table of one process.
#[derive(Debug)]
pub(super) struct Player {
    table: Table,
    /// The table's clock and the wall clock at its last input.
    last: (u64, Stamp),
}

impl Player {
    /// Starts a table by its first recorded input.
    pub(super) fn start(line: usize, table: &str, input: &Value, at: Stamp) -> Result<Self, Error> {
        let last = (reading(line, input)?, at);
        let table = match table {
            "home" => {
                let start: Start = read(line, input)?;
                let router = RouterId::try_from(start.name)
                    .map_err(|err| Error::trace(line, err.to_string()))?;
                let me = RouterIncarnation {
                    router,
                    incarnation: start.incarnation,
                };
                Table::Home(Box::new(HomeTable::new(me, start.limits)))
            }
            "takeover" => {
                let start: Start = read(line, input)?;
                let me = ControllerId::try_from(start.name)
                    .map_err(|err| Error::trace(line, err.to_string()))?;
                Table::Takeover(Box::new(TakeoverTable::new(me, start.limits)))
            }
            "server" => Table::Server(start_server(line, input)?),
            other => return Err(Error::trace(line, format!("no table is named `{other}`"))),
        };
        Ok(Self { table, last })
    }

    /// Plays one recorded input and returns the events that the table reports.
    pub(super) fn play(
        &mut self,
        line: usize,
        input: &Value,
        at: Stamp,
    ) -> Result<Vec<EventKind>, Error> {
        let now = reading(line, input)?;
        if now < self.last.0 {
            let reason = format!("the table's clock goes back from {} to {now}", self.last.0);
            return Err(Error::trace(line, reason));
        }
        self.last = (now, at);
        match &mut self.table {
            Table::Home(table) => {
                let actions = if is_tick(input) {
                    table.tick(Time(now))
                } else {
                    table.input(Time(now), read(line, input)?)
                };
                Ok(actions.into_iter().filter_map(home_event).collect())
            }
            Table::Takeover(table) => {
                let actions = if is_tick(input) {
                    table.tick(Time(now))
                } else {
                    table.input(Time(now), read(line, input)?)
                };
                Ok(actions.into_iter().filter_map(takeover_event).collect())
            }
            Table::Server(table) => {
                play_server(table, ServerTime(now), read(line, input)?);
                Ok(Vec::new())
            }
        }
    }

    /// Returns what a router may send for a shard, by the trace's clock.
    pub(super) fn permit(&self, at: Stamp, shard: &ShardId) -> Option<Permit> {
        match &self.table {
            Table::Home(table) => table.permit(Time(self.clock(at)), shard).ok(),
            Table::Takeover(_) | Table::Server(_) => None,
        }
    }

    /// Returns the token that a server would accept for a shard, by the trace's clock.
    pub(super) fn accepts(&self, at: Stamp, shard: &ShardId) -> Option<Token> {
        match &self.table {
            Table::Server(table) => table.open_grant(ServerTime(self.clock(at)), shard),
            Table::Home(_) | Table::Takeover(_) => None,
        }
    }

    pub(super) fn is_server(&self) -> bool {
        matches!(self.table, Table::Server(_))
    }

    /// Projects the table's clock to a point of the trace.
    fn clock(&self, at: Stamp) -> u64 {
        let (now, then) = self.last;
        now + at.wall.saturating_sub(then.wall)
    }
}

fn start_server(line: usize, input: &Value) -> Result<FenceTable, Error> {
    match read(line, input)? {
        ServerInput::Start {
            server,
            incarnation,
            checking,
        } => Ok(FenceTable::new(server, incarnation).checking(checking)),
        _ => Err(Error::trace(line, "the server's start is missing")),
    }
}

fn play_server(table: &mut FenceTable, now: ServerTime, input: ServerInput) {
    match input {
        ServerInput::Start { .. } => {}
        ServerInput::Orders { orders } => {
            table.apply(now, &orders);
        }
        ServerInput::Run { shard, token } => {
            // A refusal is the recorded server's outcome too.
            let _refused = table.start(now, &shard, token).is_err();
        }
        ServerInput::Finish { shard } => table.finish(&shard),
    }
}

fn reading(line: usize, input: &Value) -> Result<u64, Error> {
    input["now"]
        .as_u64()
        .ok_or_else(|| Error::trace(line, "the input has no reading of its table's clock, `now`"))
}

fn read<T: DeserializeOwned>(line: usize, input: &Value) -> Result<T, Error> {
    T::deserialize(input)
        .map_err(|err| Error::trace(line, format!("the input can't be read: {err}")))
}

fn home_event(action: home::Action) -> Option<EventKind> {
    match action {
        home::Action::Emit { kind } => Some(kind),
        _ => None,
    }
}

fn takeover_event(action: takeover::Action) -> Option<EventKind> {
    match action {
        takeover::Action::Emit { kind } => Some(kind),
        _ => None,
    }
}
