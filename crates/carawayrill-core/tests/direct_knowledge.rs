//! What fronts know of the store: relayed changes, and when a front asks the store itself.

mod knowledge_fleet;

use std::time::Duration;

use carawayrill_core::direct::knowledge::ChangeLog;
use carawayrill_core::direct::knowledge::RelayBudget;
use carawayrill_core::direct::knowledge::StorePosition;
use carawayrill_core::direct::knowledge::confirmed_time;
use carawayrill_core::id::Era;
use carawayrill_core::id::Revision;
use carawayrill_core::time::Time;
use knowledge_fleet::Fault;
use knowledge_fleet::Fleet;
use rstest::rstest;

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition {
        era: Era(era),
        revision: Revision(revision),
    }
}

fn log_with(changes: &[(u64, &str)]) -> ChangeLog<u64> {
    let mut log = ChangeLog::new(position(1, 10));
    for (revision, name) in changes {
        log.append(position(1, *revision), [((*name).into(), *revision)]);
    }
    log
}

#[test]
fn a_delta_has_the_latest_state_of_each_object_changed_since() {
    let log = log_with(&[(11, "a"), (12, "b"), (15, "a")]);
    let delta = log.since(position(1, 11)).expect("the log reaches back");
    assert_eq!(delta.position, position(1, 15));
    assert_eq!(delta.objects, [15, 12]);
    let none = log.since(position(1, 15)).expect("known");
    assert!(none.objects.is_empty());
}

#[rstest]
#[case::before_its_start(position(1, 9))]
#[case::an_earlier_era(position(0, 12))]
#[case::a_later_era(position(2, 12))]
fn a_log_does_not_continue_from_a_position_that_it_does_not_know(#[case] known: StorePosition) {
    assert_eq!(log_with(&[(11, "a"), (12, "b")]).since(known), None);
}

#[test]
fn late_and_repeated_changes_do_nothing() {
    let mut log = log_with(&[(11, "a"), (15, "a")]);
    log.append(position(1, 13), [("a".into(), 13), ("b".into(), 13)]);
    assert_eq!(log.position(), position(1, 15));
    assert_eq!(log.since(position(1, 10)).expect("known").objects, [15]);
}

#[test]
fn a_restore_of_the_store_starts_the_log_anew() {
    let mut log = log_with(&[(11, "a"), (15, "a")]);
    log.append(position(2, 12), [("b".into(), 12)]);
    assert_eq!(log.position(), position(2, 12));
    assert_eq!(log.since(position(1, 11)), None);
    assert_eq!(log.since(position(2, 11)), None);
}

#[test]
fn a_long_log_forgets_its_oldest_half() {
    let mut log = ChangeLog::new(position(1, 0));
    for revision in 1..=5_000 {
        let name = format!("s-{revision}");
        log.append(position(1, revision), [(name.into(), revision)]);
    }
    assert_eq!(log.since(position(1, 10)), None);
    let delta = log.since(position(1, 4_990)).expect("recent changes");
    assert_eq!(delta.objects.len(), 10);
}

#[rstest]
#[case::without_changes(false, 1_300, 1_200)]
#[case::cut_short(false, 1_050, 1_050)]
#[case::with_changes(true, 1_100, 1_000)]
fn a_watch_confirms_what_the_store_said_last(
    #[case] has_changes: bool,
    #[case] received: u64,
    #[case] confirmed: u64,
) {
    let wait = Duration::from_millis(200);
    let at = confirmed_time(Time(1_000), Time(received), wait, has_changes);
    assert_eq!(at, Time(confirmed));
}

/// The drain time of the large deployment, 3 s, as the gateway's settings have it.
const LONG_DRAIN: Duration = Duration::from_millis(2_100);
/// The drain time of small deployments, 2 s, as the gateway's settings have it.
const SHORT_DRAIN: Duration = Duration::from_millis(1_400);
/// The time within which a front has to know of a change. A draining server may be sent requests
/// for 3 s, and a request may take half a second to reach it.
const MAX_AGE: Duration = Duration::from_millis(2_500);
/// The same with a drain time of 2 s.
const MAX_AGE_OF_SHORT_DRAIN: Duration = Duration::from_millis(1_500);

/// Plays a fault of the granter or of the store. No front's knowledge gets older than the bound,
/// and the fronts don't all ask the store at the same time.
#[rstest]
fn knowledge_stays_recent_through_a_fault(
    #[values(11, 30, 300, 1_100)] fronts: usize,
    #[values(
        Fault::None,
        Fault::Lost,
        Fault::Silent,
        Fault::Frozen,
        Fault::CutFromStore,
        Fault::Slow,
        Fault::SilentStore
    )]
    fault: Fault,
) {
    let outcome = Fleet::new(fronts, fault, LONG_DRAIN).run(Duration::from_secs(20));
    assert!(outcome.max_age <= MAX_AGE, "{outcome:?}");
    let granter_calls = 20 * 5 + 60;
    // In 20 s each front asks once or twice around a fault, and not at all without one.
    let calls_of_fronts = match fault {
        Fault::None => 0,
        _ => 3 * fronts,
    };
    assert!(
        outcome.calls <= granter_calls + calls_of_fronts,
        "{outcome:?}"
    );
    // Less than one front in three asks within a tenth of a second.
    let max_burst = fronts / 3 + 10;
    assert!(outcome.max_calls_per_100_ms <= max_burst, "{outcome:?}");
}

#[test]
fn a_few_fronts_make_few_calls() {
    let outcome = Fleet::new(11, Fault::None, LONG_DRAIN).run(Duration::from_secs(20));
    assert!(outcome.max_age <= MAX_AGE, "{outcome:?}");
    assert!(outcome.calls <= 11 * 22, "{outcome:?}");
}

#[test]
fn a_few_fronts_learn_of_changes_in_time_after_a_watch_was_lost() {
    for drain in [SHORT_DRAIN, LONG_DRAIN] {
        let outcome = Fleet::new(11, Fault::SilentStore, drain).run(Duration::from_secs(30));
        let max_age = if drain == SHORT_DRAIN {
            MAX_AGE_OF_SHORT_DRAIN
        } else {
            MAX_AGE
        };
        assert!(outcome.max_age <= max_age, "{outcome:?}");
    }
}

/// Complete lists to hundreds of fronts at the same moment keep the granter's link busy.
#[test]
fn complete_lists_are_relayed_at_a_limited_rate() {
    const LIST_BYTES: u64 = 160 << 10;
    let mut budget = RelayBudget::new(Time(1_000));
    let mut relayed = 0;
    for now_ms in (1_000..=11_000).step_by(50) {
        for _front in 0..300 {
            relayed += u64::from(budget.try_take(LIST_BYTES, Time(now_ms)));
        }
    }
    let bytes = relayed * LIST_BYTES;
    assert!(bytes <= (3 << 20) + 10 * (512 << 10), "{bytes}");
    assert!(bytes >= 10 * (512 << 10), "{bytes}");
    assert!(!budget.try_take(4 << 20, Time(1_000_000)));
}
