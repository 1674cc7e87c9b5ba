//! The settings of a deployment.

use crate::schema::Setting;
use crate::schema::ValueKind;

/// One minute in milliseconds.
const MINUTE_MS: u64 = 60_000;
/// One hour in milliseconds.
const HOUR_MS: u64 = 60 * MINUTE_MS;
/// The largest value of `max_body`, in bytes. Such a body fits into a message between routers.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// The most shards in one block: a row and its intent stay under 1 KiB, and a block under 1 MiB.
const MAX_BLOCK_SHARDS: u32 = 1_024;

/// Returns the kind of an integer in a range.
const fn number(min: u32, max: u32) -> ValueKind {
    ValueKind::Number { min, max }
}

/// Returns the kind of a duration in a range of milliseconds.
const fn span(min_ms: u64, max_ms: u64) -> ValueKind {
    ValueKind::Span { min_ms, max_ms }
}

/// All settings of a deployment.
pub const DEPLOYMENT: &[Setting] = &[
    Setting::base("name", ValueKind::Name, None, "Name of the deployment."),
    Setting::base(
        "region_link",
        ValueKind::BitRate,
        None,
        "Bandwidth between each pair of regions, in each direction. Placement keeps cross-region traffic below it.",
    ),
    Setting::base(
        "data_centres.*.region",
        ValueKind::Name,
        None,
        "Region of the data centre. Each data centre is one site.",
    ),
    Setting::base(
        "services.*.key",
        ValueKind::Key,
        None,
        "Location of the key in a request.",
    ),
    Setting::base(
        "services.*.shards",
        number(1, 65_536),
        None,
        "Number of hash ranges that divide the keys. Fixed for the life of the service: a change would move keys between owners without a handover.",
    ),
    Setting::base(
        "services.*.shards_per_block",
        number(1, MAX_BLOCK_SHARDS),
        Some("64"),
        "Shards in one stored object. Fixed for the life of the service.",
    ),
    Setting::base(
        "services.*.slots",
        number(1, 10_000),
        None,
        "Requests that one server runs concurrently.",
    ),
    Setting::base(
        "services.*.connections",
        number(1, 100_000),
        None,
        "Connections that one server accepts.",
    ),
    Setting::base(
        "services.*.repeat",
        ValueKind::Repeat,
        Some("safe_methods"),
        "Requests that may be sent more than once: all, GET and HEAD only, or none. The others need an idempotency key.",
    ),
    Setting::base(
        "services.*.claim_window",
        span(1_000, 24 * HOUR_MS),
        Some("10min"),
        "Time during which a caller may retry a request with the same idempotency key. At least max_deadline.",
    ),
    Setting::base(
        "services.*.fencing",
        ValueKind::Bool,
        Some("true"),
        "Whether the service's servers check fencing tokens. Fixed for the life of the service.",
    ),
    Setting::overridable(
        "services.*.default_deadline",
        span(1, HOUR_MS),
        Some("5s"),
        "Time limit of a request that sets none.",
    ),
    Setting::overridable(
        "services.*.max_deadline",
        span(1, HOUR_MS),
        Some("30s"),
        "Longest time limit that a request may set.",
    ),
    Setting::overridable(
        "services.*.max_body",
        ValueKind::Size {
            min: 1,
            max: MAX_BODY_BYTES,
        },
        Some("1MiB"),
        "Largest request body.",
    ),
    Setting::overridable(
        "services.*.queue_limit",
        number(0, 100_000),
        Some("100"),
        "Requests that may be queued for one server. Further requests are refused as not run.",
    ),
    Setting::overridable(
        "services.*.warm_up",
        span(0, HOUR_MS),
        Some("10s"),
        "Time in which the load of a new server rises to its full number of slots.",
    ),
    Setting::overridable(
        "services.*.on_store_outage",
        ValueKind::Outage,
        Some("stop"),
        "Behaviour of a home while the store is unreachable: stop after timing.authority, or keep serving for the given time. A takeover without evidence waits for the same time, so an overlay may only shorten it, and a change of the base file takes two steps.",
    ),
    Setting::overridable(
        "servers.*.service",
        ValueKind::Name,
        None,
        "Service of the server. A server is declared in one file only.",
    ),
    Setting::overridable(
        "servers.*.address",
        ValueKind::Address,
        None,
        "Address at which the server accepts requests and orders.",
    ),
    Setting::base(
        "servers.*.data_centre",
        ValueKind::Name,
        None,
        "Data centre of the server. Written in the base file only; a server in an overlay belongs to that site.",
    ),
    Setting::base(
        "timing.grant_ttl",
        span(100, MINUTE_MS),
        Some("1500ms"),
        "Lifetime of a grant, by the server's clock. At most authority.",
    ),
    Setting::base(
        "timing.renew_every",
        span(10, MINUTE_MS),
        Some("300ms"),
        "Interval at which grants are renewed and servers are probed. At most half of grant_ttl and of server_silence.",
    ),
    Setting::base(
        "timing.authority",
        span(100, MINUTE_MS),
        Some("2s"),
        "Time for which a version check of the store gives authority.",
    ),
    Setting::base(
        "timing.check_every",
        span(10, MINUTE_MS),
        Some("500ms"),
        "Interval of version checks. At most half of authority.",
    ),
    Setting::base(
        "timing.server_silence",
        span(100, MINUTE_MS),
        Some("1s"),
        "Time without a response after which a server counts as lost.",
    ),
    Setting::base(
        "timing.router_silence",
        span(100, MINUTE_MS),
        Some("1s"),
        "Time without a heartbeat after which a router counts as lost.",
    ),
    Setting::base(
        "timing.heartbeat_every",
        span(10, MINUTE_MS),
        Some("300ms"),
        "Interval of the routers' heartbeats. At most half of router_silence.",
    ),
    Setting::base(
        "timing.controller_lease",
        span(500, MINUTE_MS),
        Some("2s"),
        "Duration of a controller's lease.",
    ),
    Setting::base(
        "timing.drift_ppm",
        number(0, 100_000),
        Some("500"),
        "Upper bound of the drift between two clocks, in parts per million.",
    ),
];
