//! Tests of the store client against the stand-in store, with and without faults.

use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_store::CallOutcome;
use carawayrill_store::http_store::HttpStore;
use carawayrill_store::memory::CallCounts;
use carawayrill_store::memory::Fault;
use carawayrill_store::memory::MemoryStore;
use carawayrill_store::port::ObjectStore;
use carawayrill_testkit::store;
use rstest::rstest;
use tokio::net::TcpListener;

/// The timeout of calls that are expected to complete.
const HANG_GUARD: Duration = Duration::from_secs(20);
/// The timeout of calls that get no response.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

async fn stand_in() -> (MemoryStore, HttpStore) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let memory = MemoryStore::new();
    let running = store::start(listener, memory.clone()).expect("a store");
    let client = HttpStore::new(running.address).expect("a client");
    (memory, client.timeout(HANG_GUARD))
}

fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[tokio::test]
async fn conditional_updates_and_reads() {
    let (_memory, store) = stand_in().await;
    let first = store.put("a/b", value("1"), Version(0)).await.expect("new");
    let again = store.put("a/b", value("2"), Version(0)).await;
    assert_eq!(
        Some(first),
        again.expect_err("it exists").conflicting_version()
    );
    let second = store.put("a/b", value("2"), first).await.expect("update");
    assert!(second > first);
    let read = store.get("a/b").await.expect("read").expect("an object");
    assert_eq!((second, value("2")), (read.version, read.value));
    assert_eq!(second, store.version("a/b").await.expect("version"));
    let stale = store.delete("a/b", first).await.expect_err("stale");
    assert_eq!(Some(second), stale.conflicting_version());
    store.delete("a/b", second).await.expect("deletion");
    assert_eq!(None, store.get("a/b").await.expect("read"));
    assert_eq!(Version(0), store.version("a/b").await.expect("version"));
    let anew = store.put("a/b", value("3"), Version(0)).await.expect("new");
    assert!(anew > second, "a version is never used twice");
}

#[tokio::test]
async fn watch_returns_all_then_changes_then_deletions() {
    let (_memory, store) = stand_in().await;
    let one = store.put("p/1", value("x"), Version(0)).await.expect("new");
    store.put("q/1", value("y"), Version(0)).await.expect("new");
    let all = store
        .watch("p/", Revision(0), Duration::ZERO)
        .await
        .expect("all");
    assert_eq!(vec!["p/1"], names(&all));
    let waiting = store.watch("p/", all.revision, HANG_GUARD);
    let change = store.put("p/2", value("z"), Version(0));
    let (seen, _version) = tokio::join!(waiting, change);
    let seen = seen.expect("a change");
    assert_eq!(vec!["p/2"], names(&seen));
    store.delete("p/1", one).await.expect("deletion");
    let deleted = store
        .watch("p/", seen.revision, HANG_GUARD)
        .await
        .expect("a deletion");
    assert_eq!(
        (vec!["p/1"], Version(0)),
        (names(&deleted), deleted.objects[0].version)
    );
    let quiet = store.watch("p/", deleted.revision, Duration::from_millis(1));
    assert!(quiet.await.expect("nothing").objects.is_empty());
}

fn names(changes: &carawayrill_store::port::Changes) -> Vec<&str> {
    changes
        .objects
        .iter()
        .map(|object| object.name.as_str())
        .collect()
}

#[rstest]
#[case::down(Fault::Down, CallOutcome::NotDone, false)]
#[case::lost_answer(Fault::LoseAnswer, CallOutcome::Unknown, true)]
#[case::frozen(Fault::Freeze, CallOutcome::Unknown, false)]
#[tokio::test]
async fn a_failed_update_reports_its_outcome(
    #[case] fault: Fault,
    #[case] outcome: CallOutcome,
    #[case] took_effect: bool,
) {
    let (memory, store) = stand_in().await;
    memory.set_fault(fault);
    let timeout = if fault == Fault::Freeze {
        SHORT_TIMEOUT
    } else {
        HANG_GUARD
    };
    let put = store
        .clone()
        .timeout(timeout)
        .put("a", value("1"), Version(0))
        .await;
    assert_eq!(outcome, put.expect_err("a failure").outcome());
    assert_eq!(took_effect, memory_has(&memory, "a").await);
}

#[tokio::test]
async fn a_frozen_store_applies_accepted_calls_when_it_resumes() {
    let (memory, store) = stand_in().await;
    memory.set_fault(Fault::Freeze);
    let put = store
        .clone()
        .timeout(SHORT_TIMEOUT)
        .put("a", value("1"), Version(0))
        .await;
    assert_eq!(
        CallOutcome::Unknown,
        put.expect_err("no response").outcome()
    );
    memory.set_fault(Fault::None);
    while !memory_has(&memory, "a").await {
        tokio::task::yield_now().await;
    }
}

/// Clears the fault and returns whether the store has the object `name`.
async fn memory_has(memory: &MemoryStore, name: &str) -> bool {
    memory.set_fault(Fault::None);
    memory.get(name).await.expect("a read").is_some()
}

#[tokio::test]
async fn a_refused_connection_means_not_done() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let store = HttpStore::new(address).expect("a client");
    let put = store.put("a", value("1"), Version(0)).await;
    assert_eq!(CallOutcome::NotDone, put.expect_err("nobody").outcome());
}

#[tokio::test]
async fn an_oversized_value_is_refused_and_calls_are_counted() {
    let (memory, store) = stand_in().await;
    let long = Bytes::from(vec![b'x'; (1 << 20) + 1]);
    let put = store.put("a", long, Version(0)).await;
    assert_eq!(CallOutcome::NotDone, put.expect_err("too long").outcome());
    store.put("a", value("1"), Version(0)).await.expect("new");
    store.get("a").await.expect("read");
    store.version("a").await.expect("version");
    store
        .watch("", Revision(0), Duration::ZERO)
        .await
        .expect("all");
    let calls = CallCounts {
        reads: 2,
        writes: 1,
        watches: 1,
    };
    assert_eq!(calls, memory.calls());
}
