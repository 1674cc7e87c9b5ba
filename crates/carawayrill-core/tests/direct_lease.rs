//! The granter's lease: which front may claim it, and that claims can be told apart.

use std::time::Duration;

use carawayrill_core::direct::lease::Lease;
use carawayrill_core::direct::lease::LeaseView;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;

fn view(front: &str) -> LeaseView {
    LeaseView::new(Lease {
        front: front.into(),
        run: 1,
        address: "127.0.0.1:7000".parse().expect("valid address"),
        length_ms: 2_000,
        renewals: 0,
        released: false,
    })
}

#[test]
fn claims_in_a_row_differ_so_that_a_lost_response_is_not_mistaken() {
    let mut view = view("front-1");
    view.observe(Version(0), None, Time(0));
    let first = view.claim(Time(0)).expect("claimable lease");
    // The first claim was stored, but its response was lost. A read after the second claim finds
    // the first one, and must not start the lease at the time of the second.
    let second = view.claim(Time(1_500)).expect("claimable lease");
    assert_ne!(first.lease, second.lease);
}

#[test]
fn a_lease_is_taken_over_after_it_was_not_renewed_for_its_length() {
    let mut holder = view("front-1");
    holder.observe(Version(0), None, Time(0));
    let claim = holder.claim(Time(0)).expect("claimable lease");
    let mut follower = view("front-2");
    follower.observe(Version(1), Some(claim.lease), Time(100));
    assert!(follower.claim(Time(2_100)).is_none());
    assert!(follower.claim(Time(2_101)).is_some());
    assert_eq!(holder.current(), None);
    assert!(!holder.holds(Time(0) + Duration::from_millis(1)));
}
