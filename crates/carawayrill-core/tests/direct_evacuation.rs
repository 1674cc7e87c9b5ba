//! A front's table of evacuations: what it still sends to an evacuated data centre, and until when.

use std::collections::BTreeSet;
use std::time::Duration;

use carawayrill_core::direct::evacuation;
use carawayrill_core::direct::evacuation::EvacuationChange;
use carawayrill_core::direct::evacuation::Evacuations;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::time::Time;
use rstest::rstest;

/// The bound of the deployments.
const BOUND: Duration = Duration::from_secs(5);
/// The share of it for which requests may follow the owners of their keys.
const OWNER_TIME: Duration = Duration::from_secs(3);

fn data_centre(name: &str) -> DataCentreId {
    name.parse().expect("a name")
}

fn list(names: &[&str]) -> BTreeSet<DataCentreId> {
    names.iter().map(|name| data_centre(name)).collect()
}

/// Returns the table of a front whose list was empty and complete at time 0.
fn empty_table() -> Evacuations {
    let mut table = Evacuations::new(Some(BOUND));
    let changes = table.replace_all(&list(&[]), Time(0), Time(0));
    assert!(changes.is_empty());
    table
}

#[test]
fn nothing_is_sent_before_the_list_was_read() {
    let table = Evacuations::new(Some(BOUND));
    assert!(!table.is_read());
    assert!(!table.allows(&data_centre("a")));
    assert!(!table.allows_owner(&data_centre("a"), Time(0)));
}

#[test]
fn a_deployment_without_evacuations_has_no_list_to_read() {
    let table = Evacuations::new(None);
    assert!(table.is_read());
    assert!(table.allows(&data_centre("a")));
    assert!(table.allows_owner(&data_centre("a"), Time(0)));
}

/// The time for owners counts from when the list was last complete, however late the front learns of
/// the evacuation: a front that was cut off from the store and the granter must not start it anew.
#[rstest]
#[case::learned_at_once(1_000)]
#[case::learned_late(2_900)]
#[case::learned_after_the_time_for_owners(4_000)]
#[case::learned_after_the_bound(60_000)]
fn requests_follow_owners_only_for_a_share_of_the_bound(#[case] learned_ms: u64) {
    let mut table = empty_table();
    let complete_at = Time(500);
    let learned = Time(learned_ms);
    let change = table.begin(&data_centre("a"), complete_at, learned);
    let age = learned.since(complete_at);
    let expected = EvacuationChange::Began(data_centre("a"), age);
    assert_eq!(change, Some(expected));
    assert!(!table.allows(&data_centre("a")));
    let end = complete_at + OWNER_TIME;
    let before = Time(end.0 - 1);
    assert!(table.allows_owner(&data_centre("a"), before));
    assert!(!table.allows_owner(&data_centre("a"), end));
    assert_eq!(
        table.allows_owner(&data_centre("a"), learned),
        learned < end
    );
    assert!(table.allows(&data_centre("b")));
}

/// A front that joins late doesn't know for how long the evacuation has lasted.
#[test]
fn a_front_whose_first_list_has_the_evacuation_sends_nothing_there() {
    let mut table = Evacuations::new(Some(BOUND));
    table.replace_all(&list(&["a"]), Time(900), Time(1_000));
    assert!(table.is_read());
    assert!(!table.allows(&data_centre("a")));
    assert!(!table.allows_owner(&data_centre("a"), Time(1_000)));
    assert!(table.allows_owner(&data_centre("b"), Time(1_000)));
}

#[test]
fn a_repeated_notice_does_not_extend_the_time_for_owners() {
    let mut table = empty_table();
    table.begin(&data_centre("a"), Time(0), Time(100));
    assert_eq!(
        table.begin(&data_centre("a"), Time(2_000), Time(2_100)),
        None
    );
    let again = table.replace_all(&list(&["a"]), Time(2_500), Time(2_600));
    assert!(again.is_empty());
    assert!(!table.allows_owner(&data_centre("a"), Time(0) + OWNER_TIME));
}

#[test]
fn two_data_centres_have_a_time_for_owners_each() {
    let mut table = empty_table();
    table.begin(&data_centre("a"), Time(0), Time(100));
    table.begin(&data_centre("b"), Time(2_000), Time(2_100));
    let at = Time(4_000);
    assert!(!table.allows_owner(&data_centre("a"), at));
    assert!(table.allows_owner(&data_centre("b"), at));
    assert!(!table.allows(&data_centre("b")));
    assert_eq!(table.iter().count(), 2);
}

/// One of two evacuations is taken back, and requested again later: it then begins anew.
#[test]
fn an_evacuation_that_was_taken_back_has_no_effect() {
    let mut table = empty_table();
    table.replace_all(&list(&["a", "b"]), Time(0), Time(200));
    let ended = table.end(&data_centre("a"), Time(1_200));
    let after = Duration::from_secs(1);
    assert_eq!(
        ended,
        Some(EvacuationChange::Ended(data_centre("a"), after))
    );
    assert!(table.allows(&data_centre("a")));
    assert!(table.allows_owner(&data_centre("a"), Time(9_000)));
    assert!(!table.allows(&data_centre("b")));
    assert_eq!(table.end(&data_centre("a"), Time(1_300)), None);
    table.begin(&data_centre("a"), Time(8_000), Time(8_100));
    assert!(table.allows_owner(&data_centre("a"), Time(8_000 + 2_999)));
}

/// A restored store may lack an evacuation. It is the authority, so the evacuation ends.
#[test]
fn a_list_without_an_evacuation_ends_it() {
    let mut table = empty_table();
    table.begin(&data_centre("a"), Time(0), Time(100));
    let changes = table.replace_all(&list(&["b"]), Time(900), Time(1_000));
    let expected = [
        EvacuationChange::Ended(data_centre("a"), Duration::from_millis(900)),
        EvacuationChange::Began(data_centre("b"), Duration::from_millis(100)),
    ];
    assert_eq!(changes, expected);
}

/// Without a spread the callers of a whole data centre would return together.
#[test]
fn retry_after_times_are_spread() {
    let least = evacuation::retry_after(0.0);
    let longest = evacuation::retry_after(1.0);
    assert!(least >= Duration::from_millis(500));
    assert!(longest >= least + Duration::from_millis(500));
    assert!(longest <= Duration::from_secs(2));
}
