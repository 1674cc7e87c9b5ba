//! Table of all measurements with their sizes.

use crate::control;
use crate::memory;
use crate::messages;

/// One measurement.
#[derive(Debug, Clone, Copy)]
pub struct Measurement {
    /// Name on the command line.
    pub name: &'static str,
    /// Unit of the size `n`.
    pub size_unit: &'static str,
    /// Unit of the result.
    pub unit: &'static str,
    /// Sizes at which to measure.
    pub sizes: &'static [usize],
    /// Function that measures at one size.
    pub run: fn(usize) -> f64,
}

const fn row(
    name: &'static str,
    size_unit: &'static str,
    unit: &'static str,
    sizes: &'static [usize],
    run: fn(usize) -> f64,
) -> Measurement {
    Measurement {
        name,
        size_unit,
        unit,
        sizes,
        run,
    }
}

/// Numbers of shards. The last is the target size.
const SHARD_COUNTS: &[usize] = &[5_200, 20_800, 83_200];
/// Numbers of shards for the loss of a data centre. Its cost grows with the square of the number of
/// shards, so the sizes are smaller.
const SMALL_SHARD_COUNTS: &[usize] = &[1_300, 5_200, 20_800];
/// Numbers of routers or servers.
const NODE_COUNTS: &[usize] = &[2_000, 10_000, 50_000];
/// Numbers of counters of a sketch.
const COUNTER_COUNTS: &[usize] = &[4_096, 32_768, 262_144];

/// All measurements.
pub const TABLE: &[Measurement] = &[
    row(
        "route-table",
        "shards",
        "bytes",
        SHARD_COUNTS,
        memory::route_table,
    ),
    row(
        "block-cache",
        "shards",
        "bytes",
        SHARD_COUNTS,
        memory::block_cache,
    ),
    row(
        "home-table",
        "shards",
        "bytes",
        SHARD_COUNTS,
        memory::home_table,
    ),
    row(
        "controller-view",
        "shards",
        "bytes",
        SHARD_COUNTS,
        memory::controller_view,
    ),
    row(
        "members",
        "routers",
        "bytes",
        NODE_COUNTS,
        memory::router_members,
    ),
    row(
        "declared-servers",
        "servers",
        "bytes",
        NODE_COUNTS,
        memory::declared_servers,
    ),
    row(
        "sketch",
        "counters",
        "bytes",
        COUNTER_COUNTS,
        memory::sketch,
    ),
    row(
        "heartbeat-bytes",
        "reported shards",
        "bytes",
        &[0, 80, 640],
        messages::heartbeat_bytes,
    ),
    row(
        "heartbeat-time",
        "reported shards",
        "us",
        &[0, 80, 640],
        messages::heartbeat_time,
    ),
    row(
        "delta-bytes",
        "rows",
        "bytes",
        &[8, 64, 512],
        messages::delta_bytes,
    ),
    row(
        "delta-time",
        "rows",
        "us",
        &[8, 64, 512],
        messages::delta_time,
    ),
    row(
        "check-bytes",
        "blocks",
        "bytes",
        &[1, 16, 256],
        messages::check_bytes,
    ),
    row(
        "check-time",
        "blocks",
        "us",
        &[1, 16, 256],
        messages::check_time,
    ),
    row(
        "sketch-time",
        "counters",
        "us per 1,000 requests",
        &[512, 4_096, 32_768],
        messages::sketch_time,
    ),
    row(
        "first-placement",
        "shards",
        "us",
        SHARD_COUNTS,
        control::first_placement,
    ),
    row(
        "balance-round",
        "shards",
        "us",
        SHARD_COUNTS,
        control::balance_round,
    ),
    row(
        "replace-router",
        "shards",
        "us",
        SHARD_COUNTS,
        control::replace_router,
    ),
    row(
        "replace-data-centre",
        "shards",
        "us",
        SHARD_COUNTS,
        control::replace_data_centre,
    ),
    row(
        "takeover-changes",
        "shards",
        "changes",
        SHARD_COUNTS,
        control::takeover_changes,
    ),
    row(
        "takeover-time",
        "shards",
        "us",
        SHARD_COUNTS,
        control::takeover_time,
    ),
    row(
        "takeover-reads",
        "shards",
        "store calls",
        SHARD_COUNTS,
        control::takeover_reads,
    ),
    row(
        "takeover-writes",
        "shards",
        "store calls",
        SHARD_COUNTS,
        control::takeover_writes,
    ),
    row(
        "takeover-span",
        "shards",
        "virtual ms",
        SHARD_COUNTS,
        control::takeover_span,
    ),
    row(
        "data-centre-changes",
        "shards",
        "changes",
        SMALL_SHARD_COUNTS,
        control::data_centre_changes,
    ),
    row(
        "data-centre-time",
        "shards",
        "us",
        SMALL_SHARD_COUNTS,
        control::data_centre_time,
    ),
    row(
        "data-centre-calls",
        "shards",
        "store calls",
        SMALL_SHARD_COUNTS,
        control::data_centre_calls,
    ),
    row(
        "checked-blocks",
        "shards",
        "blocks",
        SHARD_COUNTS,
        control::checked_blocks,
    ),
];
