//! Caches of the store's objects: their contents, and that they never revert to older versions.

use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::id::Era;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_router::cache::ObjectCache;
use carawayrill_store::port::Changes;
use carawayrill_store::port::Object;
use carawayrill_store::port::ObjectStore;
use rstest::rstest;

fn object(name: &str, version: u64) -> Object {
    Object {
        name: name.into(),
        version: Version(version),
        value: Bytes::from(format!("{name} at {version}")),
    }
}

fn changes(revision: u64, objects: &[(&str, u64)]) -> Changes {
    let objects = objects.iter().map(|(name, version)| object(name, *version));
    Changes {
        era: Era::default(),
        revision: Revision(revision),
        objects: objects.collect(),
    }
}

fn names(objects: &[Object]) -> Vec<String> {
    objects
        .iter()
        .map(|object| format!("{}@{}", object.name, object.version))
        .collect()
}

#[rstest]
#[case::first(&[changes(5, &[("m/a", 4), ("m/b", 5)])], &["m/a@4", "m/b@5"])]
#[case::later_change(&[changes(5, &[("m/a", 4)]), changes(9, &[("m/a", 9)])], &["m/a@9"])]
#[case::slow_source(&[changes(9, &[("m/a", 9)]), changes(5, &[("m/a", 4)])], &["m/a@9"])]
#[case::deleted(&[changes(5, &[("m/a", 4)]), changes(6, &[("m/a", 0)])], &[])]
#[case::recreated(&[changes(5, &[("m/a", 4)]), changes(6, &[("m/a", 0)]), changes(8, &[("m/a", 8)])], &["m/a@8"])]
#[case::old_after_deleted(&[changes(5, &[("m/a", 4)]), changes(6, &[("m/a", 0)]), changes(6, &[("m/a", 4)])], &[])]
fn holds_the_latest(#[case] steps: &[Changes], #[case] expected: &[&str]) {
    let cache = ObjectCache::new("m/");
    for step in steps {
        cache.apply(step.clone());
    }
    assert_eq!(expected, names(&cache.all()));
}

#[test]
fn apply_returns_only_changed_objects() {
    let cache = ObjectCache::new("m/");
    cache.apply(changes(5, &[("m/a", 4)]));
    let changed = cache.apply(changes(7, &[("m/a", 4), ("m/b", 7)]));
    assert_eq!(vec!["m/b@7"], names(&changed));
}

#[test]
fn followers_receive_deletions() {
    let cache = ObjectCache::new("m/");
    cache.apply(changes(5, &[("m/a", 4), ("m/b", 5)]));
    cache.apply(changes(6, &[("m/a", 0)]));
    let missed = cache.changes_after(Revision(5));
    assert_eq!(
        (Revision(6), vec!["m/a@0".to_owned()]),
        (missed.revision, names(&missed.objects))
    );
}

#[tokio::test(start_paused = true)]
async fn a_wait_without_changes_ends_empty_at_the_requested_revision() {
    let cache = ObjectCache::new("m/");
    cache.apply(changes(5, &[("m/a", 4)]));
    let none = cache
        .wait_for_changes(Revision(8), Duration::from_secs(5))
        .await;
    assert_eq!((Revision(8), 0), (none.revision, none.objects.len()));
}

#[tokio::test]
async fn a_copy_reads_like_the_store_and_refuses_writes() {
    let cache = ObjectCache::new("m/");
    cache.apply(changes(5, &[("m/a", 4)]));
    assert_eq!(Version(4), cache.version("m/a").await.expect("readable"));
    assert_eq!(Version(0), cache.version("m/b").await.expect("readable"));
    let refused = cache.put("m/a", Bytes::new(), Version(4)).await;
    assert!(refused.is_err(), "a copy took a write");
}
