//! The status page of a router, for operators.

use std::sync::atomic::Ordering;

use carawayrill_core::assignment::Assignment;
use carawayrill_core::data;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::Generation;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ShardId;

use crate::context::Context;
use crate::feed;

data! {
    /// The status page of a router.
    pub struct StatusPage {
        /// The router.
        pub router: RouterId,
        /// The incarnation of the process.
        pub incarnation: Incarnation,
        /// The data centre of the router.
        pub data_centre: DataCentreId,
        /// The relay of the data centre; the router itself if it is the relay.
        pub relay: Option<RouterId>,
        /// The generation of the configuration in force.
        pub generation: Generation,
        /// Whether a planned stop has begun.
        pub draining: bool,
        /// The number of callers' requests in flight.
        pub in_flight: u32,
        /// The assignments whose home the router is, or the assignment of the queried shard, whatever
        /// its home.
        pub assignments: Vec<Assignment>,
    }
}

/// Returns the status page as JSON. Restricts the assignments to `shard` unless that is empty.
#[must_use]
pub fn page(cx: &Context, shard: &str) -> Vec<u8> {
    let page = StatusPage {
        router: cx.settings.router.clone(),
        incarnation: cx.incarnation,
        data_centre: cx.settings.data_centre.clone(),
        relay: feed::relay_router(cx),
        generation: cx.generation(),
        draining: cx.stopping.load(Ordering::Relaxed),
        in_flight: cx.in_flight.load(Ordering::Relaxed),
        assignments: assignments(cx, shard),
    };
    serde_json::to_vec(&page).unwrap_or_default()
}

fn assignments(cx: &Context, shard: &str) -> Vec<Assignment> {
    let routes = cx.routes();
    if let Ok(shard) = shard.parse::<ShardId>() {
        return routes
            .row(&shard)
            .map(|row| Assignment::clone(row))
            .into_iter()
            .collect();
    }
    let mut rows: Vec<_> = routes
        .rows()
        .filter(|row| row.home == cx.settings.router)
        .map(|row| Assignment::clone(row))
        .collect();
    rows.sort_by(|a, b| a.shard.cmp(&b.shard));
    rows
}
