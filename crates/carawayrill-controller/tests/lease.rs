//! The controller's lease: renewal, takeover, release and lost responses.

use std::time::Duration;

use carawayrill_controller::lease::LeasePut;
use carawayrill_controller::lease::LeaseRead;
use carawayrill_controller::lease::LeaseTable;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;

const LEASE_DURATION: Duration = Duration::from_secs(2);

fn table(name: &str) -> LeaseTable {
    let peer = "127.0.0.1:1".parse().unwrap();
    LeaseTable::new(name.parse().unwrap(), Incarnation(7), peer, LEASE_DURATION)
}

fn stored(version: u64, put: &LeasePut) -> LeaseRead {
    LeaseRead {
        version: Version(version),
        lease: put.lease.clone(),
    }
}

#[test]
fn holder_renews_and_other_waits() {
    let (mut a, mut b) = (table("a"), table("b"));
    let first = a.on_read(Time(0), None).unwrap();
    assert_eq!(first.expected, Version(0));
    assert!(!a.is_held(Time(0)));
    a.on_written(Time(10), Version(1));
    assert!(a.is_held(Time(1_999)));
    // The lease counts from the start of the write, not from its response.
    assert!(!a.is_held(Time(2_000)));
    assert_eq!(b.on_read(Time(0), Some(stored(1, &first))), None);
    assert_eq!(b.on_read(Time(1_999), Some(stored(1, &first))), None);
    let second = a.on_read(Time(1_000), Some(stored(1, &first))).unwrap();
    assert_eq!((second.expected, second.lease.renewal), (Version(1), 2));
    a.on_written(Time(1_010), Version(2));
    // The renewal restarts the wait of the other controller.
    assert_eq!(b.on_read(Time(2_500), Some(stored(2, &second))), None);
    let taken = b.on_read(Time(4_500), Some(stored(2, &second))).unwrap();
    assert_eq!(taken.expected, Version(2));
    b.on_written(Time(4_501), Version(3));
    assert!(b.is_held(Time(4_502)));
    // The former holder detects the takeover by its next read, and waits.
    assert_eq!(a.on_read(Time(4_600), Some(stored(3, &taken))), None);
    assert!(!a.is_held(Time(4_600)));
}

#[test]
fn lost_response_is_resolved_by_the_next_read() {
    let mut a = table("a");
    let put = a.on_read(Time(0), None).unwrap();
    assert!(!a.is_held(Time(500)));
    let again = a.on_read(Time(500), Some(stored(1, &put))).unwrap();
    assert!(a.is_held(Time(1_999)));
    assert!(!a.is_held(Time(2_000)));
    assert_eq!(again.expected, Version(1));
}

#[test]
fn earlier_incarnation_of_the_same_name_is_another_holder() {
    let mut old = table("a");
    let put = old.on_read(Time(0), None).unwrap();
    let peer = "127.0.0.1:1".parse().unwrap();
    let mut new = LeaseTable::new("a".parse().unwrap(), Incarnation(8), peer, LEASE_DURATION);
    assert_eq!(new.on_read(Time(0), Some(stored(1, &put))), None);
    assert!(new.on_read(Time(2_000), Some(stored(1, &put))).is_some());
}

#[test]
fn release_ends_the_lease_at_once() {
    let mut a = table("a");
    assert_eq!(a.release(), None);
    a.on_read(Time(0), None);
    a.on_written(Time(1), Version(4));
    assert_eq!(a.release(), Some(Version(4)));
    assert!(!a.is_held(Time(2)));
}
