//! Whether one front knows all that another one knows of the store.

use carawayrill_core::direct::knowledge::KnownHistories;
use carawayrill_core::direct::knowledge::KnownHistory;
use carawayrill_core::direct::knowledge::LatestChanges;
use carawayrill_core::direct::knowledge::StorePosition;
use carawayrill_core::id::Era;
use carawayrill_core::id::Revision;
use rstest::rstest;

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition {
        era: Era(era),
        revision: Revision(revision),
    }
}

/// Returns histories that are known up to the first position, with the last change at the second.
fn histories(kinds: &[(&str, StorePosition, StorePosition)]) -> KnownHistories {
    let mut histories = KnownHistories::default();
    for (kind, position, changed) in kinds {
        let known = KnownHistory {
            position: *position,
            changed: *changed,
        };
        histories.record(kind, known);
    }
    histories
}

/// A front decides for another one by a manifest, servers or evacuations that are outdated there.
#[rstest]
#[case::all(&[("config", position(1, 20), position(1, 12))], true)]
#[case::just_the_last_change(&[("config", position(1, 15), position(1, 3))], true)]
#[case::the_change_is_missing(&[("config", position(1, 14), position(1, 3))], false)]
#[case::one_kind_of_two(
    &[("config", position(1, 20), position(1, 12)), ("servers", position(1, 17), position(1, 16))],
    false
)]
#[case::before_a_restore(&[("config", position(0, 99), position(0, 99))], false)]
#[case::after_a_restore(&[("config", position(2, 4), position(2, 1))], true)]
#[case::nothing_read_yet(&[("config", position(0, 0), position(0, 0))], false)]
#[case::a_kind_that_it_does_not_keep_up_with(&[("servers", position(1, 30), position(1, 2))], true)]
fn a_front_that_lacks_a_change_is_told_from_one_that_lags_without_changes(
    #[case] kinds: &[(&str, StorePosition, StorePosition)],
    #[case] includes: bool,
) {
    let other = histories(&[
        ("config", position(1, 40), position(1, 15)),
        ("servers", position(1, 41), position(1, 18)),
    ]);
    let text = other.latest_changes().to_string();
    assert_eq!(text, "config=1/15,servers=1/18");
    let changes: LatestChanges = text.parse().expect("the text of changes");
    assert_eq!(histories(kinds).include(&changes), includes);
}

#[rstest]
#[case("config")]
#[case("config=1")]
#[case("config=1/x")]
#[case("config=1/2,servers")]
#[case("config=-1/2")]
fn a_text_that_names_no_changes_is_refused(#[case] text: &str) {
    let err = text.parse::<LatestChanges>().expect_err("no changes");
    assert!(err.to_string().contains(text), "{err}");
}
