//! Replayed decision tables.

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::record::ServerInput;
use super::record::TableStart;
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

/// The decision table of a process, by its role.
#[derive(Debug)]
enum Table {
    Home(Box<HomeTable>),
    Takeover(Box<TakeoverTable>),
    Server(FenceTable),
}

/// A decision table that is replayed from its recorded inputs.
#[derive(Debug)]
pub(super) struct ReplayedTable {
    table: Table,
    /// The clock of the table and the time stamp in the trace, at the last input.
    last_input: (u64, Stamp),
}

impl ReplayedTable {
    /// Creates a table from its first recorded input.
    pub(super) fn start(line: usize, table: &str, input: &Value, at: Stamp) -> Result<Self, Error> {
        let last_input = (clock_reading(line, input)?, at);
        let table = match table {
            "home" => {
                let start: TableStart = parse_input(line, input)?;
                let router = RouterId::try_from(start.name)
                    .map_err(|err| Error::trace(line, err.to_string()))?;
                let home = RouterIncarnation {
                    router,
                    incarnation: start.incarnation,
                };
                Table::Home(Box::new(HomeTable::new(home, start.limits)))
            }
            "takeover" => {
                let start: TableStart = parse_input(line, input)?;
                let controller = ControllerId::try_from(start.name)
                    .map_err(|err| Error::trace(line, err.to_string()))?;
                Table::Takeover(Box::new(TakeoverTable::new(controller, start.limits)))
            }
            "server" => Table::Server(start_server(line, input)?),
            other => return Err(Error::trace(line, format!("no table is named `{other}`"))),
        };
        Ok(Self { table, last_input })
    }

    /// Applies one recorded input and returns the events that the table reports.
    pub(super) fn replay(
        &mut self,
        line: usize,
        input: &Value,
        at: Stamp,
    ) -> Result<Vec<EventKind>, Error> {
        let now = clock_reading(line, input)?;
        if now < self.last_input.0 {
            let reason = format!(
                "the clock of the table went back from {} to {now}",
                self.last_input.0
            );
            return Err(Error::trace(line, reason));
        }
        self.last_input = (now, at);
        match &mut self.table {
            Table::Home(table) => {
                let actions = if is_tick(input) {
                    table.tick(Time(now))
                } else {
                    table.input(Time(now), parse_input(line, input)?)
                };
                Ok(actions.into_iter().filter_map(home_event).collect())
            }
            Table::Takeover(table) => {
                let actions = if is_tick(input) {
                    table.tick(Time(now))
                } else {
                    table.input(Time(now), parse_input(line, input)?)
                };
                Ok(actions.into_iter().filter_map(takeover_event).collect())
            }
            Table::Server(table) => {
                replay_server(table, ServerTime(now), parse_input(line, input)?);
                Ok(Vec::new())
            }
        }
    }

    /// Returns the permit of a router to send requests of a shard at a time of the trace.
    pub(super) fn permit(&self, at: Stamp, shard: &ShardId) -> Option<Permit> {
        match &self.table {
            Table::Home(table) => table.permit(Time(self.clock(at)), shard).ok(),
            Table::Takeover(_) | Table::Server(_) => None,
        }
    }

    /// Returns the token that a server accepts for a shard at a time of the trace.
    pub(super) fn accepted_token(&self, at: Stamp, shard: &ShardId) -> Option<Token> {
        match &self.table {
            Table::Server(table) => table.open_grant(ServerTime(self.clock(at)), shard),
            Table::Home(_) | Table::Takeover(_) => None,
        }
    }

    pub(super) fn is_server(&self) -> bool {
        matches!(self.table, Table::Server(_))
    }

    /// Extrapolates the clock of the table to a time of the trace.
    fn clock(&self, at: Stamp) -> u64 {
        let (now, last_at) = self.last_input;
        now + at.wall.saturating_sub(last_at.wall)
    }
}

fn start_server(line: usize, input: &Value) -> Result<FenceTable, Error> {
    match parse_input(line, input)? {
        ServerInput::Start {
            server,
            incarnation,
            checking,
        } => Ok(FenceTable::new(server, incarnation).checking(checking)),
        _ => Err(Error::trace(line, "the start of the server is missing")),
    }
}

fn replay_server(table: &mut FenceTable, now: ServerTime, input: ServerInput) {
    match input {
        ServerInput::Start { .. } => {}
        ServerInput::Orders { orders } => {
            table.apply(now, &orders);
        }
        ServerInput::Run { shard, token } => {
            // The recorded server refused this request too.
            let _refused = table.start(now, &shard, token).is_err();
        }
        ServerInput::Finish { shard } => table.finish(&shard),
    }
}

fn clock_reading(line: usize, input: &Value) -> Result<u64, Error> {
    input["now"]
        .as_u64()
        .ok_or_else(|| Error::trace(line, "the input has no clock reading `now`"))
}

fn parse_input<T: DeserializeOwned>(line: usize, input: &Value) -> Result<T, Error> {
    T::deserialize(input)
        .map_err(|err| Error::trace(line, format!("the input could not be parsed: {err}")))
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
