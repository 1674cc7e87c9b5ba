//! How inputs of the decision tables are recorded in events.

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

/// The name of the recorded input that stands for a tick of a table.
pub const TICK_INPUT: &str = "tick";

/// One recorded input: the reading of the table's clock, and the input in the table's schema.
#[derive(Debug, Serialize)]
pub struct RecordedInput<'a, T> {
    /// The reading of the clock that the table was given, in milliseconds.
    pub now: u64,
    /// The input.
    #[serde(flatten)]
    pub input: &'a T,
}

data! {
    /// The first recorded input of a table of a router or controller.
    #[serde(tag = "input", rename = "start")]
    pub struct TableStart {
        /// The router or the controller.
        pub name: CompactString,
        /// Its run.
        pub incarnation: Incarnation,
        /// Its time limits.
        pub limits: Limits,
    }

    /// The recorded inputs of a server's table.
    #[serde(tag = "input", rename_all = "snake_case")]
    pub enum ServerInput {
        /// The server started.
        Start {
            /// Its name.
            server: ServerId,
            /// Its run.
            incarnation: Incarnation,
            /// Whether it checks fencing.
            checking: bool,
        },
        /// Orders arrived.
        Orders {
            /// The orders.
            orders: Vec<Order>,
        },
        /// A request was about to run.
        Run {
            /// The shard.
            shard: ShardId,
            /// The request's token.
            token: Token,
        },
        /// A request ended.
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

/// Makes the event of one input of the table named `table`: `home`, `takeover` or `server`.
///
/// # Panics
///
/// Panics if the input can't be written as JSON; the inputs of this crate can.
#[must_use]
pub fn input_event<T: Serialize>(table: &str, now: u64, input: &T) -> EventKind {
    let input = serde_json::to_value(RecordedInput { now, input }).expect("an input is plain data");
    EventKind::Input {
        table: table.into(),
        input,
    }
}

/// Returns whether a recorded input is a tick.
pub(super) fn is_tick(input: &Value) -> bool {
    input["input"] == json!(TICK_INPUT)
}
