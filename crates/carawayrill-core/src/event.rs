//! The event schema of log lines, time lines and traces.
//!
//! Each process writes its events to standard error as JSON, one object per line. The fields `at`,
//! `node`, `seq` and `event` are always present. The other fields depend on `event`.

use compact_str::CompactString;

use crate::assignment::BlockId;
use crate::data;
use crate::direct::lease::TermId;
use crate::hlc::Stamp;
use crate::id::Generation;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::RegionId;
use crate::id::RequestId;
use crate::id::RouterId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::ShardId;
use crate::id::Version;
use crate::outcome::Outcome;
use crate::token::Token;

data! {
    /// The log record of one request at a front.
    pub struct RequestRecord {
        /// The request id that the caller sent.
        pub request: CompactString,
        /// The matched route; empty if there is none.
        pub route: CompactString,
        /// The service that the request is for.
        pub service: CompactString,
        /// The key, for a keyed service.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub key: Option<u16>,
        /// The fingerprint of the content, which is the same if a caller sends the request again;
        /// empty if the request was not read completely.
        #[serde(default, skip_serializing_if = "CompactString::is_empty")]
        pub content: CompactString,
        /// The version of the manifest that was applied.
        pub manifest: u64,
        /// The time since the list of servers was last known to be complete, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub servers_age_ms: Option<u64>,
        /// The HTTP status of the response; 0 if the caller closed the connection before it.
        pub status: u16,
        /// The reason of the result: `served`, `full`, `timeout` and others, listed in
        /// `OPERATIONS.md`.
        pub reason: CompactString,
        /// The time limit that the caller set, in milliseconds.
        pub limit_ms: u64,
        /// The time from receipt to response, in milliseconds.
        pub took_ms: u64,
        /// The time spent waiting until the owner of the key was known or a server had room, in
        /// milliseconds.
        pub waited_ms: u64,
        /// The retry-after time in the response, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub retry_after_ms: Option<u64>,
        /// The attempts, in order.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub tries: Vec<TryRecord>,
        /// The load estimates behind a refusal for overload.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub believed: Option<LoadEstimateRecord>,
        /// The last decision on one more send; absent if one send was enough.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry: Option<RetryRecord>,
        /// The number of sends that may have run a request that was not served; absent if there are
        /// none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub unproven_sends: Option<usize>,
    }

    /// A front's decision on a retry, and its retry budget of the service at that time.
    pub struct RetryRecord {
        /// `sent`, or what forbids the retry: `route-limit`, `declines` or `budget`.
        pub decision: CompactString,
        /// The requests for the service in the window.
        pub requests: u32,
        /// The retries in the window.
        pub retries: u32,
        /// The retries that are allowed in the window, in tenths.
        pub allowed_tenths: u64,
        /// The number of fronts by which the constant part of the budget is divided; absent while this
        /// front may take no share of it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub fronts: Option<u32>,
    }

    /// A front's load estimates of the candidate servers when it refused a request.
    pub struct LoadEstimateRecord {
        /// The number of candidate servers.
        pub servers: usize,
        /// The number of candidates that were neither in backoff nor at this front's share of
        /// connections.
        pub usable: usize,
        /// The number of candidates to which this front last opened no connection.
        #[serde(default)]
        pub unreached: usize,
        /// The longest acceptable expected response time, in milliseconds.
        pub limit_ms: u64,
        /// The candidate with the lowest expected response time, usable or not.
        pub server: CompactString,
        /// The expected response time of that candidate, in milliseconds.
        pub expected_ms: u64,
        /// The expected number of requests at that candidate, in tenths.
        pub load_tenths: u64,
        /// The age of its last load report, in milliseconds, if there was one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub age_ms: Option<u64>,
    }

    /// One attempt to send a request to a server.
    pub struct TryRecord {
        /// The id of the server.
        pub server: CompactString,
        /// The time from receipt of the request to this attempt, in milliseconds.
        pub at_ms: u64,
        /// The expected response time, in milliseconds.
        pub expected_ms: u64,
        /// The expected number of requests at the server, in tenths.
        pub load_tenths: u64,
        /// The fence of the key's span, for a keyed service.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub fence: Option<u64>,
        /// The result of the attempt.
        pub outcome: CompactString,
        /// Why there was no response; empty if there was one.
        #[serde(default, skip_serializing_if = "CompactString::is_empty")]
        pub error: CompactString,
        /// The duration of the attempt, in milliseconds.
        pub took_ms: u64,
    }

    /// One event of one process.
    pub struct Event {
        /// The time of the event on the hybrid logical clock.
        pub at: Stamp,
        /// The process that wrote the event.
        pub node: NodeId,
        /// The number of the event within its process, from 0. A gap indicates a lost line.
        pub seq: u64,
        /// The kind of the event, with its fields.
        #[serde(flatten)]
        pub kind: EventKind,
    }

    /// The kind of an event, with the fields of that kind.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum EventKind {
        /// The process started to serve.
        Started {
            /// The role of the process.
            role: CompactString,
            /// The incarnation of the process.
            incarnation: Incarnation,
        },
        /// The process began a planned stop.
        Stopping {
            /// The number of requests in flight.
            in_flight: u32,
        },
        /// The process completed its planned stop.
        Stopped {
            /// The number of requests that were cut off; 0 unless the stop itself failed.
            cut_off: u32,
        },
        /// A configuration came into force in this process.
        ConfigInForce {
            /// The number of the configuration.
            generation: Generation,
        },
        /// A router applied a version of a block of assignments.
        BlockSeen {
            /// The id of the block.
            block: BlockId,
            /// The version of the block in the store.
            version: Version,
        },
        /// A process wrote a block of assignments.
        BlockWritten {
            /// The id of the block.
            block: BlockId,
            /// The new version of the block in the store.
            version: Version,
            /// The number of changed rows.
            changed: u32,
        },
        /// An assignment came into force.
        Assigned {
            /// The assigned shard.
            shard: ShardId,
            /// The server that owns the shard.
            owner: ServerId,
            /// The home router of the shard.
            home: RouterId,
            /// The lowest token of grants under the assignment.
            token: Token,
            /// The reason of the assignment.
            reason: crate::assignment::Reason,
        },
        /// A server acknowledged the first grant under a token.
        Granted {
            /// The shard of the grant.
            shard: ShardId,
            /// The server that holds the grant.
            server: ServerId,
            /// The token of the grant.
            token: Token,
        },
        /// A server acknowledged a revocation, or its grant expired.
        Revoked {
            /// The shard of the grant.
            shard: ShardId,
            /// The server that held the grant.
            server: ServerId,
            /// The token of the grant that ended.
            token: Token,
        },
        /// A home lost its authority and stopped sending.
        AuthorityLost {
            /// The shard of which this router was the home.
            shard: ShardId,
            /// The reason of the loss.
            reason: CompactString,
        },
        /// A standby home took over under the reserved term.
        TookOver {
            /// The shard that was taken over.
            shard: ShardId,
            /// The lost home.
            from: RouterId,
            /// The token under which the standby home serves.
            token: Token,
        },
        /// A process suspects another one to be lost.
        Suspected {
            /// The suspected process.
            peer: NodeId,
            /// The time since its last answer, in milliseconds.
            silent_ms: u64,
        },
        /// A server or a router began to drain.
        Draining {
            /// The draining process.
            peer: NodeId,
        },
        /// An entry router received a request.
        RequestReceived {
            /// The id of the request.
            request: RequestId,
            /// The service that the request is for.
            service: ServiceId,
            /// The shard of its key, if a key was found.
            shard: Option<ShardId>,
        },
        /// A home is about to write a request to a server.
        RequestSent {
            /// The id of the request.
            request: RequestId,
            /// The shard of its key.
            shard: ShardId,
            /// The receiving server.
            server: ServerId,
            /// The token that is sent with the request.
            token: Token,
        },
        /// An entry router sent the response to the caller.
        RequestAnswered {
            /// The id of the request.
            request: RequestId,
            /// The outcome that the caller received.
            outcome: Outcome,
            /// The HTTP status of the response.
            status: u16,
            /// The time from receipt to response, in microseconds.
            took_us: u64,
        },
        /// A front answered a request, or the caller closed the connection before.
        Request(Box<RequestRecord>),
        /// A front that shuts down aborted a request that a server may be running.
        RequestAborted {
            /// The caller's id of the request.
            request: CompactString,
            /// The server, or the other front, to which it was sent last.
            server: CompactString,
            /// The time since it was received, in milliseconds.
            age_ms: u64,
            /// The time left until its deadline, in milliseconds.
            left_ms: u64,
        },
        /// The granter noticed that a front lacks a change of the store for longer than a relay takes, or
        /// that it no longer does. Meanwhile it is not named to others.
        FrontBehind {
            /// The name of the front.
            front: CompactString,
            /// Whether it lacks a change.
            is_behind: bool,
        },
        /// The granter relayed all objects of one kind to a front that could not learn of changes otherwise.
        CompleteRelayed {
            /// The name of the front.
            front: CompactString,
            /// The kind of object.
            kind: CompactString,
            /// The number of objects.
            objects: usize,
        },
        /// A front ended the connection of a caller that took too long to read a response.
        CallerCutOff {
            /// The reason: `stalled` if the caller had stopped reading, `slow` if it had taken long and
            /// memory ran out.
            reason: CompactString,
            /// The time since the response was first written, in milliseconds.
            took_ms: u64,
        },
        /// A process applied a version of the manifest.
        ManifestInForce {
            /// The version of the manifest.
            version: u64,
            /// The number of routes.
            routes: usize,
        },
        /// The entry of a listed server changed.
        ServerChanged {
            /// The id of the server.
            server: CompactString,
            /// The change: `added`, `draining`, `removed`, or `retained` if the entry is missing after
            /// a store outage and may still come back.
            change: CompactString,
            /// The revision of the store that was read.
            revision: u64,
        },
        /// The store lists an entry of a server that is not its latest word: the entry was written late,
        /// or is of an older copy of the store.
        ServerEntryStale {
            /// The id of the server.
            server: CompactString,
            /// `former` if the entry is of an incarnation that has ended, as far as is known; `outdated`
            /// if it is of the known one.
            entry: CompactString,
            /// The start time of the incarnation that wrote the entry, in milliseconds of its clock.
            born: u64,
            /// The start time of the known incarnation, if it is listed.
            known_born: Option<u64>,
            /// The revision of the store that was read.
            revision: u64,
        },
        /// The evacuation of a data centre began or ended at this front.
        EvacuationChanged {
            /// The data centre.
            data_centre: CompactString,
            /// Whether it began; otherwise it ended.
            began: bool,
            /// The longest time since it was requested, or how long it was in force, in milliseconds.
            age_ms: u64,
        },
        /// A server said in a response that it is leaving.
        ServerLeaving {
            /// The id of the server.
            server: CompactString,
            /// The front that received the response.
            source: CompactString,
        },
        /// An overloaded server asked for no request for some time.
        ServerPaused {
            /// The id of the server.
            server: CompactString,
            /// The time, in milliseconds.
            pause_ms: u64,
        },
        /// The limit on the requests a second that a server takes from all fronts has changed.
        ServerLimited {
            /// The id of the server.
            server: CompactString,
            /// The limit in requests a second; empty if there is none any more.
            limit: CompactString,
            /// Where it was learned: `response` or `granter`.
            source: CompactString,
        },
        /// A server crashed while it had a request of this front.
        RequestCrashedServer {
            /// The fingerprint of the request's content.
            content: CompactString,
            /// The server.
            server: CompactString,
            /// The number of servers that have crashed under the request, one after the other,
            /// since it was last answered.
            crashes: usize,
        },
        /// A request that crashes servers is refused from now on.
        RequestQuarantined {
            /// The fingerprint of the request's content, with or without its query.
            content: CompactString,
            /// The number of servers that have crashed under it.
            crashes: usize,
            /// Where it was learned: `front`, `granter`, `store`, or the name of another front.
            source: CompactString,
        },
        /// A request under which servers had crashed was answered, and is no longer suspected.
        RequestCleared {
            /// The fingerprint of the request's content.
            content: CompactString,
            /// The server that answered it.
            server: CompactString,
        },
        /// Servers of one service are not reached, but others are: the front is not cut off.
        ServiceUnreachable {
            /// The service.
            service: ServiceId,
        },
        /// A front opens no connection to any server, and passes its requests on to other fronts.
        ServersUnreachable {
            /// The number of servers that it did not reach, one after the other.
            servers: usize,
        },
        /// The front opened a connection to a server again.
        ServersReachable {
            /// The time for which it was cut off, in milliseconds.
            after_ms: u64,
        },
        /// The store came back from an older copy.
        StoreRestored {
            /// The kind of object whose list was read anew.
            kind: CompactString,
            /// The new era.
            era: u64,
            /// The revision of the list.
            revision: u64,
        },
        /// Changes of the store's objects come from another source than before.
        KnowledgeSource {
            /// The kind of object.
            kind: CompactString,
            /// The source: `store` or `relay`.
            source: CompactString,
            /// The age of what is known, in milliseconds.
            age_ms: u64,
        },
        /// What is known of the store's objects has become so old that changes may be missing.
        KnowledgeStale {
            /// The kind of object.
            kind: CompactString,
            /// The age of what is known, in milliseconds.
            age_ms: u64,
        },
        /// What is known of the store's objects is recent again.
        KnowledgeCurrent {
            /// The kind of object.
            kind: CompactString,
            /// The time for which it was stale, in milliseconds.
            after_ms: u64,
        },
        /// A dependency of the process became unreachable.
        DependencyLost {
            /// The dependency: `store` or `granter`.
            name: CompactString,
            /// The error.
            reason: CompactString,
        },
        /// A dependency of the process became reachable again.
        DependencyRegained {
            /// The dependency: `store` or `granter`.
            name: CompactString,
            /// The time for which it was unreachable, in milliseconds.
            after_ms: u64,
        },
        /// A front acquired, released or lost the granter's lease.
        GranterLease {
            /// The change: `taken`, `given_up` or `lost`.
            change: CompactString,
            /// The version of the lease object.
            version: Version,
            /// The term of this front that began or ended with the change.
            term: Option<TermId>,
            /// The reason of the change.
            reason: CompactString,
        },
        /// The granter's decisions for a term of the lease began or ended.
        GranterRuntime {
            /// The change: `started` or `ended`.
            change: CompactString,
            /// The term.
            term: TermId,
        },
        /// A granter stored the span record of a service.
        SpansStored {
            /// The service of the spans.
            service: ServiceId,
            /// The version of the record.
            version: Version,
            /// The number of spans.
            spans: usize,
            /// The number of spans whose former holder has not released them yet.
            moving: usize,
        },
        /// Homes of routes restrict the servers that hold keys of a service otherwise than before.
        KeysRestricted {
            /// The service.
            service: ServiceId,
            /// Where keys are placed: `homes` if only outside of the excluded data centres. On all
            /// servers otherwise: `unrestricted`, `no-common-home` or `no-server`.
            placement: CompactString,
            /// The data centres whose servers hold no keys because they are not in a home.
            excluded: Vec<CompactString>,
        },
        /// The granter changed how many requests leave a region.
        EgressShareChanged {
            /// The service.
            service: ServiceId,
            /// The region that the requests leave.
            from: RegionId,
            /// The region that receives them.
            to: RegionId,
            /// The share of the requests, in thousandths.
            milli_share: u64,
            /// The requests that fronts in the region accept, per second.
            offered_per_s: u64,
            /// The requests that servers in the region can run, per second.
            capacity_per_s: u64,
        },
        /// A destination of a route with homes has no server there, or has one again.
        HomeServers {
            /// The route.
            route: CompactString,
            /// The destination.
            service: ServiceId,
            /// Whether a server that is not draining is listed there.
            listed: bool,
        },
        /// An order of a granter to a server ended. Successful grants are not logged.
        SpanOrderEnded {
            /// The receiving server.
            server: ServerId,
            /// The key range of the order.
            range: CompactString,
            /// The fence of the order.
            fence: u64,
            /// The command: `grant` or `release`.
            command: CompactString,
            /// The result: `done`, `fenced`, `not-sent` or `unknown`.
            result: CompactString,
            /// The duration of the call, in milliseconds.
            took_ms: u64,
        },
        /// A front applied the spans of a service.
        SpansSeen {
            /// The service of the spans.
            service: ServiceId,
            /// The version of the record.
            version: Version,
            /// The number of spans.
            spans: usize,
        },
        /// The readiness of a front changed.
        Readiness {
            /// Whether the front is ready.
            ready: bool,
            /// The reason of the change.
            reason: CompactString,
        },
        /// An input of the decision code, recorded for replay.
        Input {
            /// The table that received the input: `home`, `takeover` or `placement`.
            table: CompactString,
            /// The input in the schema of that table.
            input: serde_json::Value,
        },
        /// A log message for people.
        Message {
            /// The severity: `error`, `warn`, `info`, `debug` or `trace`.
            level: CompactString,
            /// The module that logged the message.
            target: CompactString,
            /// The text of the message.
            text: String,
        },
    }
}
