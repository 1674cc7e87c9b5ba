//! The routers' last heartbeats, and how long ago they arrived.

use std::collections::BTreeMap;
use std::time::Duration;

use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::KeyHash;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::time::Time;
use carawayrill_proto::wire;

/// The state of a server as reported by its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReport {
    /// The server.
    pub server: ServerId,
    /// Whether the home considers it lost.
    pub lost: bool,
    /// Whether it accepts no new work.
    pub draining: bool,
}

/// The load of one shard since the previous heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardLoad {
    /// The shard.
    pub shard: ShardId,
    /// Number of requests.
    pub requests: u64,
    /// The hottest key and its share of the requests in thousandths, if one stands out.
    pub hot: Option<(KeyHash, u32)>,
    /// Bytes that crossed regions.
    pub cross_region_bytes: u64,
}

/// A heartbeat of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The router.
    pub router: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is draining for a planned stop.
    pub draining: bool,
    /// Its servers.
    pub servers: Vec<ServerReport>,
    /// The load of its shards.
    pub loads: Vec<ShardLoad>,
}

impl TryFrom<wire::HeartbeatRequest> for Heartbeat {
    type Error = carawayrill_core::Error;

    fn try_from(req: wire::HeartbeatRequest) -> Result<Self, Self::Error> {
        let servers = req.servers.into_iter().map(ServerReport::try_from);
        let loads = req.loads.into_iter().map(ShardLoad::try_from);
        Ok(Self {
            router: req.router.parse()?,
            incarnation: Incarnation(req.incarnation),
            data_centre: req.data_centre.parse()?,
            draining: req.draining,
            servers: servers.collect::<Result<_, _>>()?,
            loads: loads.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<wire::ServerSeen> for ServerReport {
    type Error = carawayrill_core::Error;

    fn try_from(report: wire::ServerSeen) -> Result<Self, Self::Error> {
        Ok(Self {
            server: report.server.parse()?,
            lost: report.lost,
            draining: report.draining,
        })
    }
}

impl TryFrom<wire::ShardLoad> for ShardLoad {
    type Error = carawayrill_core::Error;

    fn try_from(load: wire::ShardLoad) -> Result<Self, Self::Error> {
        let hot = (load.hot_share > 0).then_some((KeyHash(load.hot_key), load.hot_share));
        Ok(Self {
            shard: load.shard.parse()?,
            requests: load.requests,
            hot,
            cross_region_bytes: load.cross_region_bytes,
        })
    }
}

/// The last heartbeat of one router.
#[derive(Debug, Clone)]
pub struct ReceivedHeartbeat {
    /// When it arrived.
    pub received_at: Time,
    /// The router that forwarded it.
    pub relay: RouterId,
    /// Its content.
    pub heartbeat: Heartbeat,
}

/// The last heartbeats of all routers.
#[derive(Debug, Default)]
pub struct HeartbeatTable {
    rows: BTreeMap<RouterId, ReceivedHeartbeat>,
}

impl HeartbeatTable {
    /// Stores heartbeats that `relay` forwarded at `now`. Drops a delayed heartbeat of an earlier
    /// incarnation than the known one.
    pub fn on_report(&mut self, now: Time, relay: &RouterId, heartbeats: Vec<Heartbeat>) {
        for heartbeat in heartbeats {
            let known = self.rows.get(&heartbeat.router);
            if known.is_some_and(|old| old.heartbeat.incarnation > heartbeat.incarnation) {
                continue;
            }
            let relay = relay.clone();
            let received = ReceivedHeartbeat {
                received_at: now,
                relay,
                heartbeat,
            };
            self.rows
                .insert(received.heartbeat.router.clone(), received);
        }
    }

    /// Returns the last heartbeat of a router.
    #[must_use]
    pub fn get(&self, router: &RouterId) -> Option<&ReceivedHeartbeat> {
        self.rows.get(router)
    }

    /// Returns the last heartbeats of all routers.
    pub fn iter(&self) -> impl Iterator<Item = &ReceivedHeartbeat> {
        self.rows.values()
    }

    /// Removes a router that is no longer a member.
    pub fn remove(&mut self, router: &RouterId) {
        self.rows.remove(router);
    }

    /// Returns the time since the last heartbeat of the given incarnation of a router, and the
    /// limit at which the router counts as lost. The time counts from `since` at the earliest.
    ///
    /// The limit is doubled for routers whose relay is silent, because their data centre needs time
    /// to detect that and to choose another relay. Otherwise the loss of one router would look like
    /// the loss of its data centre.
    #[must_use]
    pub fn silence(
        &self,
        router: &RouterId,
        incarnation: Incarnation,
        since: Time,
        now: Time,
        limit: Duration,
    ) -> (Duration, Duration) {
        let received = self
            .rows
            .get(router)
            .filter(|received| received.heartbeat.incarnation == incarnation);
        let last = received.map_or(since, |received| received.received_at.max(since));
        let relay = received.and_then(|received| self.rows.get(&received.relay));
        let relay_silent = relay.is_some_and(|relay| {
            relay.heartbeat.router != *router && now.since(relay.received_at.max(since)) >= limit
        });
        let limit = if relay_silent { limit * 2 } else { limit };
        (now.since(last), limit)
    }
}
