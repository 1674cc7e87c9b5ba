//! The granter's lease: which front may claim it, and that claims can be told apart.

use std::time::Duration;

use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::lease::Lease;
use carawayrill_core::direct::lease::LeaseView;
use carawayrill_core::direct::lease::TermId;
use carawayrill_core::id::Era;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;

fn lease_of(front: &str, era: u64) -> Lease {
    Lease {
        front: front.into(),
        run: 1,
        address: "127.0.0.1:7000".parse().expect("valid address"),
        length_ms: 2_000,
        renewals: 0,
        released: false,
        era: Era(era),
        peer_key: None,
    }
}

fn view(front: &str) -> LeaseView {
    LeaseView::new(lease_of(front, 0), true)
}

fn version(era: u64, version: u64) -> StoredVersion {
    StoredVersion {
        era: Era(era),
        version: Version(version),
    }
}

#[test]
fn claims_in_a_row_differ_so_that_a_lost_response_is_not_mistaken() {
    let mut view = view("front-1");
    view.observe(version(0, 0), None, Time(0));
    let first = view.claim(Time(0)).expect("claimable lease");
    // The first claim was stored, but its response was lost. A read after the second claim finds
    // the first one, and must not start the lease at the time of the second.
    let second = view.claim(Time(1_500)).expect("claimable lease");
    assert_ne!(first.lease, second.lease);
}

#[test]
fn a_lease_is_taken_over_after_it_was_not_renewed_for_its_length() {
    let mut holder = view("front-1");
    holder.observe(version(0, 0), None, Time(0));
    let claim = holder.claim(Time(0)).expect("claimable lease");
    let mut follower = view("front-2");
    follower.observe(version(0, 1), Some(claim.lease), Time(100));
    assert!(follower.claim(Time(2_100)).is_none());
    assert!(follower.claim(Time(2_101)).is_some());
    assert_eq!(holder.current(), None);
    assert!(!holder.holds(Time(0) + Duration::from_millis(1)));
}

/// After a restore the record of an earlier holder may be back.
#[test]
fn after_a_restore_nobody_claims_the_lease_on_the_strength_of_its_record() {
    let mut follower = view("front-2");
    follower.observe(version(1, 20), Some(lease_of("front-1", 1)), Time(0));
    // The restored record names this front's own earlier process, as released.
    let released = Lease {
        released: true,
        ..lease_of("front-2", 1)
    };
    follower.observe(version(2, 9), Some(released), Time(1_000));
    assert!(follower.claim(Time(3_000)).is_none());
    assert!(follower.claim(Time(3_001)).is_some());
}

#[test]
fn the_holder_goes_on_after_a_restore_while_its_lease_is_valid() {
    let mut holder = view("front-1");
    holder.observe(version(1, 20), None, Time(0));
    let claim = holder.claim(Time(0)).expect("claimable lease");
    holder.claim_stored(claim, Version(21), Time(0), Time(0));
    holder.observe(version(2, 9), Some(lease_of("front-2", 1)), Time(1_000));
    let claim = holder.claim(Time(1_999)).expect("a holder's claim");
    assert_eq!(claim.expected, version(2, 9));
    assert_eq!(claim.lease.era, Era(2));
    assert!(holder.claim(Time(2_001)).is_none());
}

/// A front that started after the first start can't know that the lease was never stored.
#[test]
fn a_lost_lease_is_claimed_only_after_its_holder_must_have_stopped() {
    let mut follower = view("front-2");
    follower.observe(version(1, 20), Some(lease_of("front-1", 1)), Time(0));
    follower.observe(version(2, 0), None, Time(1_000));
    assert!(follower.claim(Time(3_000)).is_none());
    assert!(follower.claim(Time(3_001)).is_some());
}

#[test]
fn a_late_answer_of_an_earlier_era_changes_nothing() {
    let mut follower = view("front-2");
    follower.observe(version(2, 9), Some(lease_of("front-1", 2)), Time(1_000));
    follower.observe(version(1, 20), None, Time(1_100));
    assert_eq!(follower.version(), version(2, 9));
}

/// Claims the free lease, and returns the view and its term.
fn held() -> (LeaseView, TermId) {
    let mut view = view("front-1");
    view.observe(version(0, 0), None, Time(0));
    let claim = view.claim(Time(0)).expect("claimable lease");
    let term = view.claim_stored(claim, Version(1), Time(0), Time(4));
    (view, term.expect("a term"))
}

/// A renewal that was under way as the lease ran out made the lease valid again, while the granter had seen its end.
#[test]
fn a_renewal_whose_answer_comes_after_the_end_of_its_term_belongs_to_no_term() {
    let (mut view, term) = held();
    let claim = view.claim(Time(1_900)).expect("a renewal");
    assert_eq!(claim.renews, Some(term));
    assert_eq!(view.term(Time(2_000)), None);
    assert_eq!(
        view.claim_stored(claim, Version(2), Time(1_900), Time(2_050)),
        None
    );
    assert!(!view.holds(Time(2_051)));
    // The lease is its own still, so that it can be claimed at once, for a term of its own.
    let claim = view.claim(Time(2_100)).expect("claimable lease");
    assert_eq!(claim.renews, None);
    let next = view.claim_stored(claim, Version(3), Time(2_100), Time(2_104));
    assert_eq!(next, Some(term.next()));
}

/// The same while nobody has asked since the end of the term.
#[test]
fn a_late_renewal_prolongs_no_term_that_ran_out_unseen() {
    let (mut view, _term) = held();
    let claim = view.claim(Time(1_900)).expect("a renewal");
    let renewed = view.claim_stored(claim, Version(2), Time(1_900), Time(2_000));
    assert_eq!(renewed, None);
}

/// Guards against terms that end although each renewal is answered in time.
#[test]
fn renewals_in_time_prolong_one_term() {
    let (mut view, term) = held();
    for number in 1..20 {
        let sent = Time(number * 500);
        let claim = view.claim(sent).expect("a renewal");
        let answered = sent + Duration::from_millis(1_400);
        let renewed = view.claim_stored(claim, Version(number + 1), sent, answered);
        assert_eq!(renewed, Some(term));
    }
    view.end_term();
    assert_eq!(view.term(Time(10_000)), None);
}

/// A claim whose answer took longer than the lease lasts must not begin a term.
#[test]
fn a_claim_that_was_stored_too_late_begins_no_term() {
    let mut view = view("front-1");
    view.observe(version(0, 0), None, Time(0));
    let claim = view.claim(Time(0)).expect("claimable lease");
    assert_eq!(
        view.claim_stored(claim, Version(1), Time(0), Time(2_000)),
        None
    );
}
