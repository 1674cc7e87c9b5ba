//! What a front does when the table of servers has changed.

use carawayrill_core::direct::servers::ServerChange;
use carawayrill_core::id::ServerId;

use crate::state::Shared;
use crate::upstream::Upstream;

/// Discards what belongs to former servers, and wakes up the requests that wait for a change.
pub(crate) fn follow(shared: &Shared, upstream: &Upstream, changes: &[ServerChange]) {
    if changes.is_empty() {
        return;
    }
    discard_stale_state(shared, upstream, changes);
    shared.record_homes();
    shared.notify_changed();
}

/// Discards connections and load estimates of servers that restarted or were removed.
fn discard_stale_state(shared: &Shared, upstream: &Upstream, changes: &[ServerChange]) {
    let replaced: Vec<&ServerId> = changes
        .iter()
        .filter_map(|change| match change {
            ServerChange::Added(id) | ServerChange::Removed(id) => Some(id),
            ServerChange::Draining(_) => None,
        })
        .collect();
    upstream.evict_idle(|id| !replaced.contains(&id));
    let mut tables = shared.tables();
    for change in changes {
        if let ServerChange::Added(id) = change {
            tables.loads.remove(id);
            tables.limits.remove(id);
        }
    }
    tables.remove_unlisted();
}
