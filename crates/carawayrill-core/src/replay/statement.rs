//! Statements about a trace.

use std::fmt;

use crate::data;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::token::Token;

data! {
    /// One stated outcome. Events are counted from 1.
    #[serde(tag = "statement", rename_all = "snake_case")]
    pub enum Statement {
        /// While it is sent at all, the shard is sent only to this server.
        SentOnlyTo {
            /// The shard.
            shard: ShardId,
            /// The server.
            server: ServerId,
            /// The lowest token.
            at_least: Token,
            /// From the state after this event.
            after: usize,
            /// Up to the state after this event; to the end if there is none.
            #[serde(default)]
            until: Option<usize>,
        },
        /// No router may send a request of the shard.
        NotSent {
            /// The shard.
            shard: ShardId,
            /// From the state after this event.
            after: usize,
            /// Up to the state after this event; to the end if there is none.
            #[serde(default)]
            until: Option<usize>,
        },
        /// At no event two servers hold a grant that has not ended. Needs the servers' inputs.
        OneOwner {
            /// The shard.
            shard: ShardId,
        },
        /// Some router may send for the shard again within a time.
        ServedWithin {
            /// The shard.
            shard: ShardId,
            /// After this event.
            after: usize,
            /// The time, in milliseconds of the trace's clock.
            within_ms: u64,
        },
        /// The replayed tables report just what the recorded processes reported: grants,
        /// revocations, takeovers, losses of authority and suspicions.
        SameDecisions,
    }
}

impl Statement {
    /// Returns the highest number of an event that the statement names.
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

/// Writes the events over which a statement is judged.
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
            Self::SameDecisions => f.write_str("the decisions are those that were recorded"),
        }
    }
}
