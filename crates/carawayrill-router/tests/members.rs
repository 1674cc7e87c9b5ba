//! The table of routers: incarnations, the relay of a data centre, successors.

use std::time::Duration;

use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RouterId;
use carawayrill_core::object::Member;
use carawayrill_core::time::Time;
use carawayrill_router::members::MemberTable;
use rstest::rstest;

const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

fn id(name: &str) -> RouterId {
    RouterId::try_from(name).expect("a name")
}

fn centre(name: &str) -> DataCentreId {
    DataCentreId::try_from(name).expect("a name")
}

fn member(router: &str, dc: &str, incarnation: u64, draining: bool) -> Member {
    let address = "127.0.0.1:7001".parse().expect("an address");
    Member {
        router: id(router),
        incarnation: Incarnation(incarnation),
        data_centre: centre(dc),
        peer: address,
        http: address,
        draining,
    }
}

fn three_routers() -> MemberTable {
    let table = MemberTable::default();
    for (router, dc) in [("r-1", "a"), ("r-2", "a"), ("r-3", "b")] {
        table.put(member(router, dc, 1, false));
    }
    table
}

#[rstest]
#[case::lowest_name("a", &[], 0, Some("r-1"))]
#[case::other_data_centre("b", &[], 0, Some("r-3"))]
#[case::none_there("c", &[], 0, None)]
#[case::silent_for_long("a", &[("r-1", false, 0)], 1_000, Some("r-2"))]
#[case::silent_for_short("a", &[("r-1", false, 0)], 999, Some("r-1"))]
#[case::silence_counts_from_its_first_call("a", &[("r-1", false, 0), ("r-1", false, 900)], 1_000, Some("r-2"))]
#[case::answers_again("a", &[("r-1", false, 0), ("r-1", true, 900)], 1_500, Some("r-1"))]
#[case::all_silent("b", &[("r-3", false, 0)], 5_000, None)]
fn relay(
    #[case] dc: &str,
    #[case] calls: &[(&str, bool, u64)],
    #[case] now: u64,
    #[case] expected: Option<&str>,
) {
    let table = three_routers();
    for (router, answered, at) in calls {
        table.record_call(&id(router), *answered, Time(*at));
    }
    assert_eq!(
        expected.map(id),
        table.relay(&centre(dc), Time(now), SILENCE_TIMEOUT)
    );
}

#[test]
fn an_earlier_incarnation_does_not_replace_a_later_one() {
    let table = three_routers();
    table.put(member("r-1", "a", 7, false));
    table.put(member("r-1", "a", 6, true));
    let known = table.get(&id("r-1")).expect("known");
    assert_eq!((Incarnation(7), false), (known.incarnation, known.draining));
}

#[test]
fn a_new_incarnation_is_not_silent() {
    let table = three_routers();
    table.record_call(&id("r-1"), false, Time(0));
    table.put(member("r-1", "a", 2, false));
    assert_eq!(
        Some(id("r-1")),
        table.relay(&centre("a"), Time(5_000), SILENCE_TIMEOUT)
    );
}

#[test]
fn a_draining_router_is_no_successor() {
    let table = MemberTable::default();
    table.put(member("r-1", "a", 1, true));
    assert!(!table.has_successor(&id("r-1")));
    table.put(member("r-2", "a", 1, true));
    assert!(!table.has_successor(&id("r-1")));
    table.put(member("r-3", "b", 1, false));
    assert!(table.has_successor(&id("r-1")));
}
