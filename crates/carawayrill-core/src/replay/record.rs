//! Format in which the inputs of the decision tables are recorded as events.

use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::data;
use crate::event::EventKind;
use crate::id::Incarnation;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::order::Order;
use crate::ownership::limits::Limits;
use crate::token::Token;

/// The name of the recorded input of a tick.
pub const TICK_INPUT: &str = "tick";

/// One recorded input: the clock reading of the table, and the input in the schema of the table.
#[derive(Debug, Serialize)]
pub struct RecordedInput<'a, T> {
    /// The clock reading that was passed to the table, in milliseconds.
    pub now: u64,
    /// The input.
    #[serde(flatten)]
    pub input: &'a T,
}

data! {
    /// The first recorded input of a table of a router or controller.
    #[serde(tag = "input", rename = "start")]
    pub struct TableStart {
        /// The name of the router or controller.
        pub name: CompactString,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Its time limits.
        pub limits: Limits,
    }

    /// The recorded inputs of a server's table.
    #[serde(tag = "input", rename_all = "snake_case")]
    pub enum ServerInput {
        /// The server starts.
        Start {
            /// The name of the server.
            server: ServerId,
            /// Its incarnation.
            incarnation: Incarnation,
            /// Whether the server checks fencing tokens.
            checking: bool,
        },
        /// Orders are received.
        Orders {
            /// The received orders.
            orders: Vec<Order>,
        },
        /// A request is about to run.
        Run {
            /// The shard of the request.
            shard: ShardId,
            /// The fencing token of the request.
            token: Token,
        },
        /// A request has ended.
        Finish {
            /// The shard.
            shard: ShardId,
        },
    }
}

/// The recorded input of a tick.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct TickInput {
    input: &'static str,
}

impl Default for TickInput {
    fn default() -> Self {
        Self { input: TICK_INPUT }
    }
}

/// Creates the event that records one input of the table named `table`: `home`, `takeover` or
/// `server`.
///
/// # Panics
///
/// Panics if the input can't be serialized to JSON; the inputs of this crate can.
#[must_use]
pub fn input_event<T: Serialize>(table: &str, now: u64, input: &T) -> EventKind {
    let input =
        serde_json::to_value(RecordedInput { now, input }).expect("inputs serialize to JSON");
    EventKind::Input {
        table: table.into(),
        input,
    }
}

/// Returns whether a recorded input is a tick.
pub(super) fn is_tick(input: &Value) -> bool {
    input["input"] == json!(TICK_INPUT)
}
