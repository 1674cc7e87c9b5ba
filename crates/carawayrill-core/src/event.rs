//! The one event schema: log lines, time line and traces.
//!
//! Every process writes its events to standard error, a JSON object a line. The fields `at`,
//! `node`, `seq` and `event` are always there; the others depend on `event`.

use compact_str::CompactString;

use crate::assignment::BlockId;
use crate::data;
use crate::hlc::Stamp;
use crate::id::Generation;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::RequestId;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::ShardId;
use crate::id::Version;
use crate::outcome::Outcome;
use crate::token::Token;

data! {
    /// One event of one process.
    pub struct Event {
        /// When it happened, on the hybrid logical clock.
        pub at: Stamp,
        /// The process it happened in.
        pub node: NodeId,
        /// Counts the events of one process from 0, so that a gap shows a lost line.
        pub seq: u64,
        /// What happened.
        #[serde(flatten)]
        pub kind: EventKind,
    }

    /// What happened.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum EventKind {
        /// The process serves from now on.
        Started {
            /// Its role.
            role: CompactString,
            /// Its present run.
            incarnation: Incarnation,
        },
        /// The process began a planned stop.
        Stopping {
            /// Requests still in flight.
            in_flight: u32,
        },
        /// The process ended its planned stop.
        Stopped {
            /// Requests that were cut off; always 0 unless the stop itself failed.
            cut_off: u32,
        },
        /// A configuration came into force here.
        ConfigInForce {
            /// Its number.
            generation: Generation,
        },
        /// A router took in a version of a block of assignments.
        BlockSeen {
            /// The block.
            block: BlockId,
            /// Its version in the store.
            version: Version,
        },
        /// A process wrote a block of assignments.
        BlockWritten {
            /// The block.
            block: BlockId,
            /// Its new version in the store.
            version: Version,
            /// Rows that changed.
            changed: u32,
        },
        /// An assignment came into force.
        Assigned {
            /// The shard.
            shard: ShardId,
            /// Its owner.
            owner: ServerId,
            /// The home of the owner.
            home: RouterId,
            /// The lowest token of its grants.
            token: Token,
            /// Why.
            reason: crate::assignment::Reason,
        },
        /// A server acknowledged the first grant under a token.
        Granted {
            /// The shard.
            shard: ShardId,
            /// The server.
            server: ServerId,
            /// The token.
            token: Token,
        },
        /// A server acknowledged a revocation, or its grant ended.
        Revoked {
            /// The shard.
            shard: ShardId,
            /// The server.
            server: ServerId,
            /// The token of the grant that ended.
            token: Token,
        },
        /// A home lost its authority and stopped sending.
        AuthorityLost {
            /// The shard.
            shard: ShardId,
            /// Why.
            reason: CompactString,
        },
        /// A standby home took over under the reserved term.
        TookOver {
            /// The shard.
            shard: ShardId,
            /// The lost home.
            from: RouterId,
            /// The token it serves under.
            token: Token,
        },
        /// A process holds another to be lost.
        Suspected {
            /// The process that seems lost.
            peer: NodeId,
            /// How long it has not answered, in milliseconds.
            silent_ms: u64,
        },
        /// A server or a router began to leave.
        Draining {
            /// Which.
            peer: NodeId,
        },
        /// An entry router took in a request.
        RequestReceived {
            /// The request.
            request: RequestId,
            /// The service it is for.
            service: ServiceId,
            /// The shard of its key, if a key was found.
            shard: Option<ShardId>,
        },
        /// A home is about to write the request to a server.
        RequestSent {
            /// The request.
            request: RequestId,
            /// The shard of its key.
            shard: ShardId,
            /// The server.
            server: ServerId,
            /// The token sent with it.
            token: Token,
        },
        /// An entry router answered its caller.
        RequestAnswered {
            /// The request.
            request: RequestId,
            /// What the caller was told.
            outcome: Outcome,
            /// The HTTP status.
            status: u16,
            /// Time from receipt to answer, in microseconds.
            took_us: u64,
        },
        /// Control input of the decision code, recorded so that it can be replayed.
        Input {
            /// The table that took the input: `home`, `takeover` or `placement`.
            table: CompactString,
            /// The input in the table's own schema.
            input: serde_json::Value,
        },
        /// A message for people.
        Message {
            /// The severity: `error`, `warn`, `info`, `debug` or `trace`.
            level: CompactString,
            /// The module that logs.
            target: CompactString,
            /// The text.
            text: String,
        },
    }
}
