//! A simplified placement planner that assigns each shard to live servers and routers.

use std::collections::BTreeMap;

use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::Reason;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::ownership::takeover::Change;
use carawayrill_core::time::Time;

use super::topology;
use super::topology::NODES;
use super::topology::ROUTERS;
use super::topology::SERVERS;
use super::topology::node_ix;

/// Silence after which the planner treats a router as failed, in milliseconds.
const SILENCE_MS: u64 = 1_200;
/// Time for which the planner waits for the standby home to take over, in milliseconds.
const GRACE_MS: u64 = 2_500;

/// A controller's view of routers and servers.
#[derive(Debug, Default)]
pub struct View {
    pub routers: BTreeMap<RouterId, (Incarnation, Time)>,
    pub servers: BTreeMap<ServerId, (bool, Time)>,
    /// The assignment of each shard without a live home, and since when.
    missing: BTreeMap<u32, (Assignment, Time)>,
    /// Shards whose move was requested.
    pub requested_moves: Vec<usize>,
}

impl View {
    pub fn update_server(&mut self, now: Time, id: &ServerId, lost: bool) {
        // One router that reaches the server is sufficient, because others may be partitioned from
        // it.
        let known = self.servers.entry(id.clone()).or_insert((lost, now));
        if !lost || known.0 || now.since(known.1).as_millis() > 700 {
            *known = (lost, now);
        }
    }

    fn live_incarnation(&self, now: Time, id: &RouterId) -> Option<RouterIncarnation> {
        let (incarnation, last_heartbeat) = self.routers.get(id)?;
        let fresh = now.since(*last_heartbeat).as_millis() <= u128::from(SILENCE_MS);
        fresh.then(|| RouterIncarnation {
            router: id.clone(),
            incarnation: *incarnation,
        })
    }

    fn is_live(&self, now: Time, id: &RouterId, incarnation: Incarnation) -> bool {
        self.live_incarnation(now, id)
            .is_some_and(|known| known.incarnation == incarnation)
    }

    fn server_ok(&self, id: &ServerId) -> bool {
        self.servers.get(id).is_some_and(|(lost, _)| !lost)
    }

    /// Returns the changes that the planner requests.
    pub fn plan(&mut self, now: Time, block: &Block) -> Vec<Change> {
        let rows = block.rows.iter();
        rows.filter_map(|row| self.change(now, row)).collect()
    }

    fn change(&mut self, now: Time, row: &Assignment) -> Option<Change> {
        let index = u32::from(row.shard != topology::shard(0));
        let moved = self.requested_moves.contains(&(index as usize));
        let home_ok = self.is_live(now, &row.home, row.home_run);
        let standby_home = row.standby_home.as_ref();
        let standby_home_ok =
            standby_home.is_some_and(|id| self.is_live(now, id, row.standby_home_run));
        if home_ok {
            self.missing.remove(&index);
            let owner_ok = self.server_ok(&row.owner);
            let standby_ok = row.standby.as_ref().is_some_and(|id| self.server_ok(id));
            if owner_ok && standby_ok && standby_home_ok && !moved {
                return None;
            }
            if !owner_ok && standby_ok {
                return None;
            }
            let reason = if moved {
                Reason::Balance
            } else {
                Reason::ServerLost
            };
            self.requested_moves
                .retain(|shard| *shard != index as usize);
            let avoid = (moved || !owner_ok).then_some(&row.owner);
            return self.choose(now, row, avoid, reason, true);
        }
        let (since, at) = self.missing.entry(index).or_insert((row.clone(), now));
        if since.token != row.token {
            (*since, *at) = (row.clone(), now);
        }
        let waited = now.since(*at).as_millis() >= u128::from(GRACE_MS);
        if standby_home_ok && !waited {
            return None;
        }
        self.choose(now, row, None, Reason::HomeLost, false)
    }

    fn choose(
        &self,
        now: Time,
        row: &Assignment,
        avoid: Option<&ServerId>,
        reason: Reason,
        keep: bool,
    ) -> Option<Change> {
        let servers: Vec<ServerId> = SERVERS
            .map(|ix| NODES[ix].0.parse().expect("valid server ID"))
            .collect();
        let live = |id: &&ServerId| self.server_ok(id) && Some(*id) != avoid;
        let pair = [Some(&row.owner), row.standby.as_ref()];
        let owner = pair
            .into_iter()
            .flatten()
            .chain(&servers)
            .find(live)?
            .clone();
        let standby = pair
            .into_iter()
            .flatten()
            .chain(&servers)
            .find(|id| live(id) && **id != owner)
            .cloned();
        let data_centre_of = |name: &str| NODES[node_ix(name)].1;
        let mut used = vec![data_centre_of(owner.as_str())];
        used.extend(standby.as_ref().map(|id| data_centre_of(id.as_str())));
        let routers: Vec<RouterId> = ROUTERS
            .map(|ix| NODES[ix].0.parse().expect("valid router ID"))
            .collect();
        let kept = keep.then_some(&row.home).filter(|_| avoid.is_none());
        let standby_home = row.standby_home.as_ref().filter(|_| !keep);
        let candidates: Vec<&RouterId> = kept
            .into_iter()
            .chain(standby_home)
            .chain(&routers)
            .collect();
        let home = candidates.iter().find(|id| {
            self.live_incarnation(now, id).is_some()
                && (Some(**id) == kept || !used.contains(&data_centre_of(id.as_str())))
        })?;
        let home = self.live_incarnation(now, home)?;
        let former = row.standby_home.as_ref().into_iter().chain(&routers);
        let second = former.filter(|id| {
            **id != home.router
                && data_centre_of(id.as_str()) != data_centre_of(home.router.as_str())
        });
        let standby_home = second
            .into_iter()
            .find_map(|id| self.live_incarnation(now, id));
        let change = Change {
            block: topology::block_id(),
            shard: row.shard.clone(),
            from: Some(row.token),
            owner,
            standby,
            home,
            standby_home,
            reason,
        };
        // The best available change may equal the assignment in force. It would then be requested
        // repeatedly.
        (!is_same(row, &change)).then_some(change)
    }
}

fn is_same(row: &Assignment, change: &Change) -> bool {
    let servers = row.owner == change.owner && row.standby == change.standby;
    let home = row.home == change.home.router && row.home_run == change.home.incarnation;
    let standby_home = row.standby_home.clone().map(|router| RouterIncarnation {
        router,
        incarnation: row.standby_home_run,
    });
    servers && home && standby_home == change.standby_home
}
