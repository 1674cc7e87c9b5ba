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
    /// The story of one request at a front.
    pub struct RequestRecord {
        /// The caller's id of it.
        pub request: CompactString,
        /// Its route, if one was found.
        pub route: CompactString,
        /// The service that it was for.
        pub service: CompactString,
        /// The key, for a keyed service.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub key: Option<u16>,
        /// The version of the manifest that decided.
        pub manifest: u64,
        /// The HTTP status of the answer; 0 if the caller left before.
        pub status: u16,
        /// Why it ended so: `served`, `full`, `timeout` and others, listed in `OPERATIONS.md`.
        pub reason: CompactString,
        /// The time that the caller gave, in milliseconds.
        pub limit_ms: u64,
        /// The time from receipt to answer, in milliseconds.
        pub took_ms: u64,
        /// The time spent waiting for the owner of the key to be known, in milliseconds.
        pub waited_ms: u64,
        /// When the caller was told to come back, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub retry_after_ms: Option<u64>,
        /// The servers that it was sent to, in order.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub tries: Vec<TryRecord>,
        /// What was believed of the servers when it was refused for lack of room.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub believed: Option<LoadEstimateRecord>,
    }

    /// What a front believed of the servers that could have taken a request.
    pub struct LoadEstimateRecord {
        /// The servers that were weighed.
        pub servers: usize,
        /// Those of them that were neither paused after failures nor at this front's share of
        /// connections.
        pub usable: usize,
        /// The time within which an answer had to be expected, in milliseconds.
        pub limit_ms: u64,
        /// The server that was expected to answer first, usable or not.
        pub server: CompactString,
        /// The time within which it was expected to answer, in milliseconds.
        pub expected_ms: u64,
        /// Requests that were expected to be there, in tenths.
        pub load_tenths: u64,
        /// The age of its last report, in milliseconds, if it ever made one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub age_ms: Option<u64>,
    }

    /// One send of a request to a server.
    pub struct TryRecord {
        /// The server.
        pub server: CompactString,
        /// The time after receipt at which it was sent, in milliseconds.
        pub at_ms: u64,
        /// The time within which an answer was expected, in milliseconds.
        pub expected_ms: u64,
        /// Requests that were expected to be at the server, in tenths.
        pub load_tenths: u64,
        /// The fence of the key's span, for a keyed service.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub fence: Option<u64>,
        /// How it ended.
        pub outcome: CompactString,
        /// How long it took, in milliseconds.
        pub took_ms: u64,
    }

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
        /// A front has answered a request, or has seen its caller leave.
        Request(RequestRecord),
        /// A process took in a version of the manifest.
        ManifestInForce {
            /// Its version.
            version: u64,
            /// Its routes.
            routes: usize,
        },
        /// A process learned of a change of a listed server.
        ServerChanged {
            /// The server.
            server: CompactString,
            /// What changed: `added`, `draining` or `removed`.
            change: CompactString,
            /// The revision of the store at which this was seen.
            revision: u64,
        },
        /// A process can't reach something that it depends on.
        DependencyLost {
            /// What: `store` or `granter`.
            name: CompactString,
            /// Why.
            reason: CompactString,
        },
        /// A process reaches something again that it depends on.
        DependencyRegained {
            /// What: `store` or `granter`.
            name: CompactString,
            /// How long it was not reached, in milliseconds.
            after_ms: u64,
        },
        /// A front became the granter or ceased to be it.
        GranterLease {
            /// `taken`, `given_up` or `lost`.
            change: CompactString,
            /// The version of the lease object.
            version: Version,
            /// Why.
            reason: CompactString,
        },
        /// A granter stored which server holds which keys.
        SpansStored {
            /// The service.
            service: ServiceId,
            /// The version of the record.
            version: Version,
            /// Its spans.
            spans: usize,
            /// Those whose former holder has to let go first.
            moving: usize,
        },
        /// An order of a granter to a server ended, other than by a renewal that was done.
        SpanOrderEnded {
            /// The server.
            server: ServerId,
            /// The keys.
            range: CompactString,
            /// The fence.
            fence: u64,
            /// `grant` or `release`.
            command: CompactString,
            /// How it ended.
            result: CompactString,
            /// How long it took, in milliseconds.
            took_ms: u64,
        },
        /// A front took in the spans of a service.
        SpansSeen {
            /// The service.
            service: ServiceId,
            /// The version of the record.
            version: Version,
            /// Its spans.
            spans: usize,
        },
        /// A front began or ceased to count as ready.
        Readiness {
            /// Whether it is ready.
            ready: bool,
            /// Why.
            reason: CompactString,
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
