//! The server table around store outages.

use std::time::Duration;

use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::servers::Freshness;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::direct::servers::ServerChange;
use carawayrill_core::direct::servers::Servers;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use rstest::rstest;

fn id(name: &str) -> ServerId {
    name.parse().expect("valid name")
}

fn server(name: &str, born: u64, draining: bool) -> Server {
    Server {
        id: id(name),
        born: Born(born),
        sequence: 1,
        service: "forms".parse().expect("valid name"),
        address: "127.0.0.1:2000".parse().expect("valid address"),
        data_centre: "a".parse().expect("valid name"),
        slots: 6,
        draining,
        cold_for: Duration::ZERO,
        software: "v1".into(),
    }
}

/// The shortest outage of the store in which entries expire.
const MIN_LAPSE: Duration = Duration::from_millis(1_740);

#[test]
fn a_missing_server_is_removed_at_once_while_the_store_is_reachable() {
    let mut servers = Servers::new(Duration::ZERO, ENTRY_EXPIRY);
    servers.replace_all(
        vec![server("s-1", 1, false), server("s-2", 1, false)],
        Time(0),
        Time(0),
    );
    let changes = servers.replace_all(vec![server("s-2", 1, false)], Time(10), Time(10));
    assert_eq!(changes, [ServerChange::Removed(id("s-1"))]);
}

/// A server that stopped during an outage must be removed within 3 s of the end of the outage. The
/// platform allows requests to a stopped server until 2 s after a machine is connected again, and
/// counts the machine as connected 3 s after the outage. The outage may have ended right after the
/// last failed call was sent.
#[rstest]
#[case::soon(10_000, 10_200)]
#[case::late(10_000, 11_500)]
fn a_server_missing_after_an_outage_is_removed_in_time(#[case] failed: u64, #[case] read: u64) {
    let mut servers = Servers::new(MIN_LAPSE, ENTRY_EXPIRY);
    servers.replace_all(vec![server("s-1", 1, false)], Time(0), Time(0));
    servers.mark_store_unreachable(Time(failed));
    let changes = servers.replace_all(Vec::new(), Time(read), Time(0));
    assert_eq!(changes, []);
    assert!(servers.get(&id("s-1")).is_some());
    let in_touch = Time(failed) + Duration::from_secs(3);
    assert_eq!(servers.expire(in_touch), [ServerChange::Removed(id("s-1"))]);
}

#[test]
fn a_server_listed_again_after_an_outage_is_not_reported_as_changed() {
    let mut servers = Servers::new(MIN_LAPSE, ENTRY_EXPIRY);
    servers.replace_all(vec![server("s-1", 1, false)], Time(0), Time(0));
    servers.mark_store_unreachable(Time(10_000));
    servers.replace_all(Vec::new(), Time(10_100), Time(0));
    assert_eq!(
        servers.upsert(server("s-1", 1, false), Time(11_000), Time(11_000)),
        None
    );
    assert_eq!(servers.expire(Time(20_000)), []);
}

#[test]
fn a_server_with_another_start_time_is_reported_as_added() {
    let mut servers = Servers::new(Duration::ZERO, ENTRY_EXPIRY);
    servers.upsert(server("s-1", 1, false), Time(0), Time(0));
    assert_eq!(
        servers.upsert(server("s-1", 2, false), Time(1), Time(1)),
        Some(ServerChange::Added(id("s-1")))
    );
}

#[test]
fn draining_counts_from_the_first_report() {
    let mut servers = Servers::new(Duration::ZERO, ENTRY_EXPIRY);
    servers.upsert(server("s-1", 1, false), Time(0), Time(0));
    assert_eq!(servers.draining_since(&id("s-1")), None);
    servers.upsert(server("s-1", 1, true), Time(5), Time(5));
    servers.upsert(server("s-1", 1, true), Time(9), Time(9));
    assert_eq!(servers.draining_since(&id("s-1")), Some(Time(5)));
}

#[test]
fn a_server_that_said_that_it_leaves_is_draining_whatever_the_store_says() {
    let mut servers = Servers::new(Duration::ZERO, ENTRY_EXPIRY);
    servers.replace_all(vec![server("s-1", 1, false)], Time(0), Time(0));
    let id = id("s-1");
    assert_eq!(servers.mark_leaving(&id, Born(2), Time(5)), None);
    let changed = servers.mark_leaving(&id, Born(1), Time(10));
    assert_eq!(changed, Some(ServerChange::Draining(id.clone())));
    assert_eq!(
        servers.upsert(server("s-1", 1, false), Time(500), Time(500)),
        None
    );
    assert_eq!(servers.draining_since(&id), Some(Time(10)));
    assert_eq!(servers.announced_leaving().count(), 1);
    // Once its entry says so too, other fronts don't have to be told.
    assert_eq!(
        servers.upsert(server("s-1", 1, true), Time(700), Time(700)),
        None
    );
    assert_eq!(servers.announced_leaving().count(), 0);
    assert_eq!(
        servers
            .ready_servers(&"forms".parse().expect("a name"))
            .count(),
        0
    );
    // Its next incarnation is ready.
    servers.upsert(server("s-1", 2, false), Time(900), Time(900));
    assert_eq!(servers.draining_since(&id), None);
}

/// The time after which a server that has ended is no longer listed.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_480);

#[test]
fn a_server_that_left_is_not_used_when_a_restored_store_lists_it_again() {
    let mut servers = Servers::new(Duration::ZERO, ENTRY_EXPIRY);
    servers.replace_all(
        vec![server("s-1", 1, false), server("s-2", 1, false)],
        Time(0),
        Time(0),
    );
    servers.replace_all(vec![server("s-2", 1, false)], Time(1_000), Time(1_000));
    let restored = vec![server("s-1", 1, false), server("s-2", 1, false)];
    assert_eq!(
        servers.replace_all_restored(restored, Time(2_000), Time(2_000)),
        []
    );
    assert_eq!(servers.get(&id("s-1")), None);
    // Its entry expires, and it never came back.
    servers.handle_missing(&id("s-1"), Time(5_000));
    assert_eq!(servers.expire(Time(9_000)), []);
    assert_eq!(servers.get(&id("s-1")), None);
}

#[test]
fn a_running_server_that_a_restored_store_lists_again_is_used_once_that_is_certain() {
    let mut servers = Servers::new(Duration::ZERO, ENTRY_EXPIRY);
    servers.replace_all(vec![server("s-1", 1, false)], Time(0), Time(0));
    servers.replace_all(Vec::new(), Time(1_000), Time(1_000));
    servers.replace_all_restored(vec![server("s-1", 1, false)], Time(2_000), Time(2_000));
    assert_eq!(servers.expire(Time(5_479)), []);
    assert_eq!(
        servers.expire(Time(5_480)),
        [ServerChange::Added(id("s-1"))]
    );
}

#[test]
fn a_running_server_that_a_restored_store_lacks_is_retained_for_a_while() {
    let mut servers = Servers::new(Duration::ZERO, ENTRY_EXPIRY);
    servers.replace_all(vec![server("s-1", 1, false)], Time(0), Time(0));
    assert_eq!(
        servers.replace_all_restored(Vec::new(), Time(1_000), Time(1_000)),
        []
    );
    assert!(servers.get(&id("s-1")).is_some());
    assert_eq!(
        servers.expire(Time(2_950)),
        [ServerChange::Removed(id("s-1"))]
    );
}

#[test]
fn a_draining_server_is_not_ready_again_in_a_restored_store() {
    let mut servers = Servers::new(Duration::ZERO, ENTRY_EXPIRY);
    servers.replace_all(vec![server("s-1", 1, true)], Time(0), Time(0));
    servers.replace_all_restored(vec![server("s-1", 1, false)], Time(1_000), Time(1_000));
    assert_eq!(servers.draining_since(&id("s-1")), Some(Time(0)));
}

/// A call of this front failed, and then it made none, since the granter relayed all changes.
#[test]
fn a_failed_call_does_not_retain_a_server_after_the_list_was_confirmed() {
    let mut servers = Servers::new(MIN_LAPSE, ENTRY_EXPIRY);
    servers.replace_all(vec![server("s-1", 1, false)], Time(0), Time(0));
    servers.mark_store_unreachable(Time(10_000));
    servers.replace_all(Vec::new(), Time(10_100), Time(0));
    servers.mark_store_unreachable(Time(10_500));
    servers.confirm(Time(10_400), Time(11_000), Time(10_100));
    assert_eq!(servers.expire(Time(13_500)), []);
    servers.confirm(Time(13_000), Time(13_500), Time(10_400));
    assert_eq!(
        servers.expire(Time(13_500)),
        [ServerChange::Removed(id("s-1"))]
    );
}

/// The granter, or this front alone, was cut off from the store for too short a time for entries to
/// expire, or a single call was lost.
#[test]
fn a_server_that_left_around_a_short_failure_is_not_retained() {
    let mut servers = Servers::new(MIN_LAPSE, ENTRY_EXPIRY);
    servers.replace_all(vec![server("s-1", 1, false)], Time(9_000), Time(9_000));
    servers.mark_store_unreachable(Time(9_100));
    let changes = servers.replace_all(Vec::new(), Time(10_000), Time(9_000));
    assert_eq!(changes, [ServerChange::Removed(id("s-1"))]);
}

/// A server restarted shortly before the restore, so that the copy lists its former incarnation. Its
/// present one goes on, and may hold keys.
#[test]
fn a_restored_store_that_lists_a_former_incarnation_replaces_no_server() {
    let mut servers = Servers::new(Duration::ZERO, ENTRY_EXPIRY);
    servers.replace_all(vec![server("s-1", 1, false)], Time(0), Time(0));
    servers.upsert(server("s-1", 2, false), Time(1_000), Time(1_000));
    let former = vec![server("s-1", 1, false)];
    let changes = servers.replace_all_restored(former, Time(2_000), Time(2_000));
    assert_eq!(changes, []);
    let known = servers.get(&id("s-1")).map(|server| server.born);
    assert_eq!(known, Some(Born(2)));
}

fn entry(born: u64, sequence: u64, draining: bool) -> Server {
    Server {
        sequence,
        ..server("s-1", born, draining)
    }
}

fn known_entry(servers: &Servers) -> Option<(Born, u64)> {
    let known = servers.get(&id("s-1"))?;
    Some((known.born, known.sequence))
}

/// By which way an entry arrives.
#[derive(Debug, Clone, Copy)]
enum Way {
    Change,
    List,
    RestoredList,
}

impl Way {
    fn deliver(self, servers: &mut Servers, entry: Server, at: Time) -> Vec<ServerChange> {
        match self {
            Self::Change => servers.upsert(entry, at, at).into_iter().collect(),
            Self::List => servers.replace_all(vec![entry], at, at),
            Self::RestoredList => servers.replace_all_restored(vec![entry], at, at),
        }
    }
}

/// A write of the former incarnation that got no answer made the granter take the present one for ended.
#[rstest]
fn a_late_entry_of_a_former_incarnation_replaces_no_server(
    #[values(Way::Change, Way::List, Way::RestoredList)] way: Way,
) {
    let mut servers = Servers::new(MIN_LAPSE, ENTRY_EXPIRY);
    servers.upsert(entry(1, 7, false), Time(0), Time(0));
    servers.upsert(entry(2, 1, false), Time(1_000), Time(1_000));
    assert_eq!(servers.freshness(&entry(1, 8, false)), Freshness::Former);
    for sequence in 8..10 {
        let at = Time(1_000 + sequence);
        assert_eq!(way.deliver(&mut servers, entry(1, sequence, true), at), []);
        assert_eq!(known_entry(&servers), Some((Born(2), 1)));
        assert_eq!(servers.draining_since(&id("s-1")), None);
    }
    servers.upsert(entry(2, 2, false), Time(1_900), Time(1_900));
    assert_eq!(servers.expire(Time(20_000)), []);
    assert_eq!(known_entry(&servers), Some((Born(2), 2)));
}

/// A late write made a server that had been removed, and started again meanwhile, look like its former incarnation.
#[rstest]
fn a_late_entry_of_a_former_incarnation_is_not_used_after_a_removal(
    #[values(Way::Change, Way::List, Way::RestoredList)] way: Way,
) {
    let mut servers = Servers::new(MIN_LAPSE, ENTRY_EXPIRY);
    servers.upsert(entry(2, 1, false), Time(0), Time(0));
    servers.handle_missing(&id("s-1"), Time(1_000));
    let late = entry(1, 8, false);
    assert_eq!(way.deliver(&mut servers, late, Time(1_100)), []);
    assert_eq!(known_entry(&servers), None);
    servers.handle_missing(&id("s-1"), Time(3_000));
    assert_eq!(servers.expire(Time(20_000)), []);
}

/// A late write of the same incarnation must not take back what a later entry has said.
#[rstest]
fn a_late_entry_of_the_same_incarnation_takes_nothing_back(
    #[values(Way::Change, Way::List)] way: Way,
) {
    let mut servers = Servers::new(MIN_LAPSE, ENTRY_EXPIRY);
    let present = Server {
        slots: 3,
        ..entry(1, 9, true)
    };
    servers.upsert(present.clone(), Time(0), Time(0));
    let late = Server {
        cold_for: Duration::from_secs(3),
        ..entry(1, 8, false)
    };
    assert_eq!(servers.freshness(&late), Freshness::Outdated);
    assert_eq!(way.deliver(&mut servers, late, Time(500)), []);
    assert_eq!(servers.get(&id("s-1")), Some(&present));
}

/// The refusal of late entries must not delay a true restart.
#[rstest]
fn a_later_incarnation_is_used_at_once_however_many_late_entries_came_before(
    #[values(Way::Change, Way::List, Way::RestoredList)] way: Way,
) {
    let mut servers = Servers::new(MIN_LAPSE, ENTRY_EXPIRY);
    servers.upsert(entry(2, 5, true), Time(0), Time(0));
    way.deliver(&mut servers, entry(1, 9, false), Time(100));
    let added = [ServerChange::Added(id("s-1"))];
    assert_eq!(
        way.deliver(&mut servers, entry(3, 1, false), Time(200)),
        added
    );
    assert_eq!(known_entry(&servers), Some((Born(3), 1)));
    assert_eq!(servers.draining_since(&id("s-1")), None);
}

/// A clock that was set back must not hide a restarted server for ever.
#[test]
fn a_restarted_server_with_an_earlier_start_time_is_used_once_the_former_one_is_silent() {
    let mut servers = Servers::new(MIN_LAPSE, ENTRY_EXPIRY);
    servers.upsert(entry(9, 4, false), Time(0), Time(0));
    servers.upsert(entry(8, 1, false), Time(1_000), Time(1_000));
    servers.upsert(entry(8, 2, false), Time(1_900), Time(1_900));
    let certain = Time(1_000) + ENTRY_EXPIRY;
    assert_eq!(servers.expire(Time(certain.0 - 1)), []);
    assert_eq!(servers.expire(certain), [ServerChange::Added(id("s-1"))]);
    assert_eq!(known_entry(&servers), Some((Born(8), 2)));
}
