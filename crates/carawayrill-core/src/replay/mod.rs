//! Replays recorded traces and checks statements about their outcome.
//!
//! A trace is a text of JSON lines. The first line is the header, `{"carawayrill_trace":1}`, with
//! an optional `about`. Each other line is an event as the processes write it, or a statement.
//! Inputs of the decision tables are replayed through the code that runs in the daemons, and the
//! statements are checked after every event. Events are counted from 1.
//!
//! # Examples
//!
//! ```
//! let text = concat!(
//!     r#"{"carawayrill_trace":1,"about":"nothing happens"}"#, "\n",
//!     r#"{"at":"1000.0","node":"r1","seq":0,"event":"started","role":"router","incarnation":1}"#, "\n",
//!     r#"{"statement":"not_sent","shard":"forms/0","after":1}"#, "\n",
//! );
//! let outcomes = carawayrill_core::replay::run(text)?;
//! assert_eq!("holds: forms/0 is not sent from event 1 on", outcomes[0].to_string());
//! # Ok::<(), carawayrill_core::Error>(())
//! ```

mod check;
mod record;
mod statement;
mod table;
mod trace;

use std::fmt;

pub use self::record::RecordedInput;
pub use self::record::ServerInput;
pub use self::record::TICK_INPUT;
pub use self::record::TableStart;
pub use self::record::TickInput;
pub use self::record::input_event;
pub use self::statement::Statement;
pub use self::trace::Trace;
pub use self::trace::VERSION;
use crate::Error;

/// The result of checking one statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementResult {
    /// The statement.
    pub statement: Statement,
    /// The number of the first event after which the statement doesn't hold, counted from 1.
    pub broken_at: Option<usize>,
    /// The state or event that violates the statement.
    pub found: Option<String>,
}

impl fmt::Display for StatementResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.broken_at, &self.found) {
            (None, _) => write!(f, "holds: {}", self.statement),
            (Some(at), None) => write!(f, "broken at event {at}: {}", self.statement),
            (Some(at), Some(found)) => {
                write!(f, "broken at event {at}: {}; found {found}", self.statement)
            }
        }
    }
}

/// Replays a trace and returns the results of its statements, in their order.
///
/// # Errors
///
/// Fails with the line number if the text is not a complete trace of a known version with its
/// events in order.
pub fn run(text: &str) -> Result<Vec<StatementResult>, Error> {
    let trace: Trace = text.parse()?;
    check::check(&trace)
}
