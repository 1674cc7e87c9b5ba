//! Statements about a trace.

use std::fmt;

use crate::data;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::token::Token;

data! {
    /// One statement about the outcome of a trace. Events are counted from 1.
    #[serde(tag = "statement", rename_all = "snake_case")]
    pub enum Statement {
        /// Requests of the shard are sent to this server only, if they are sent at all.
        SentOnlyTo {
            /// The shard.
            shard: ShardId,
            /// The only server that requests are sent to.
            server: ServerId,
            /// The lowest token that requests are sent under.
            at_least: Token,
            /// The first event after which the statement is checked.
            after: usize,
            /// The last event after which the statement is checked; `None` is the end of the trace.
            #[serde(default)]
            until: Option<usize>,
        },
        /// No router may send requests of the shard.
        NotSent {
            /// The shard.
            shard: ShardId,
            /// The first event after which the statement is checked.
            after: usize,
            /// The last event after which the statement is checked; `None` is the end of the trace.
            #[serde(default)]
            until: Option<usize>,
        },
        /// At most one server at a time holds a grant of the shard that has not expired. Needs the
        /// inputs of servers in the trace.
        OneOwner {
            /// The shard.
            shard: ShardId,
        },
        /// A router may send requests of the shard again within a time limit.
        ServedWithin {
            /// The shard.
            shard: ShardId,
            /// The event at which the time limit starts.
            after: usize,
            /// The time limit, in milliseconds of the wall clock of the trace.
            within_ms: u64,
        },
        /// The replayed tables report the same decisions as the recorded processes: grants,
        /// revocations, takeovers, losses of authority and suspicions.
        SameDecisions,
    }
}

impl Statement {
    /// Returns the highest event number that the statement refers to.
    #[must_use]
    pub fn last_event(&self) -> usize {
        match self {
            Self::SentOnlyTo { after, until, .. } | Self::NotSent { after, until, .. } => {
                until.unwrap_or(0).max(*after)
            }
            Self::ServedWithin { after, .. } => *after,
            Self::OneOwner { .. } | Self::SameDecisions => 0,
        }
    }
}

/// Writes the range of events for which a statement is checked.
fn write_span(f: &mut fmt::Formatter<'_>, after: usize, until: Option<usize>) -> fmt::Result {
    match until {
        Some(until) => write!(f, "from event {after} to {until}"),
        None => write!(f, "from event {after} on"),
    }
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SentOnlyTo {
                shard,
                server,
                at_least,
                after,
                until,
            } => {
                write!(
                    f,
                    "{shard} is sent only to {server} under {at_least} or higher "
                )?;
                write_span(f, *after, *until)
            }
            Self::NotSent {
                shard,
                after,
                until,
            } => {
                write!(f, "{shard} is not sent ")?;
                write_span(f, *after, *until)
            }
            Self::OneOwner { shard } => write!(f, "{shard} never has two owners"),
            Self::ServedWithin {
                shard,
                after,
                within_ms,
            } => write!(
                f,
                "{shard} is served within {within_ms} ms of event {after}"
            ),
            Self::SameDecisions => f.write_str("the decisions match the recorded ones"),
        }
    }
}
