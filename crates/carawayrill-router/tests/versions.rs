//! Version checks: the number of store reads, and that they never miss an announced intent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::id::Version;
use carawayrill_core::object::AUTHORITY_CHANGES;
use carawayrill_router::clock::MonotonicClock;
use carawayrill_router::versions::VersionReader;
use carawayrill_store::memory::Fault;
use carawayrill_store::memory::MemoryStore;
use carawayrill_store::port::ObjectStore;
use compact_str::CompactString;
use compact_str::format_compact;

const BLOCKS: usize = 20;

/// Longer than a read may be reused, so that the next check reads the store again.
const BEYOND_SHARED_READ: Duration = Duration::from_millis(250);

struct Harness {
    store: Arc<MemoryStore>,
    reader: VersionReader,
    names: Vec<CompactString>,
}

impl Harness {
    async fn new() -> Self {
        let store = Arc::new(MemoryStore::new());
        let names: Vec<_> = (0..BLOCKS)
            .map(|index| format_compact!("assignments/s/{index}"))
            .collect();
        for name in &names {
            write(&store, name).await;
        }
        let port: Arc<dyn ObjectStore> = Arc::clone(&store) as Arc<dyn ObjectStore>;
        Self {
            reader: VersionReader::new(port, MonotonicClock::start()),
            store,
            names,
        }
    }

    async fn check(&self) -> Vec<Version> {
        self.check_having_seen(|_name| Version(0)).await
    }

    async fn check_having_seen(&self, seen: impl Fn(&str) -> Version) -> Vec<Version> {
        self.reader
            .check(&self.names, seen)
            .await
            .expect("the store serves")
            .versions
    }

    async fn true_versions(&self) -> Vec<Version> {
        let mut versions = Vec::new();
        for name in &self.names {
            versions.push(self.store.version(name).await.expect("the store serves"));
        }
        versions
    }

    async fn reads_per_check(&self) -> u64 {
        let before = self.store.calls().reads;
        self.check().await;
        self.store.calls().reads - before
    }
}

async fn write(store: &MemoryStore, name: &str) -> Version {
    let version = store.version(name).await.expect("the store serves");
    store
        .put(name, Bytes::from_static(b"{}"), version)
        .await
        .expect("no other writer")
}

#[tokio::test(start_paused = true)]
async fn a_check_without_changes_costs_one_read() {
    let harness = Harness::new().await;
    assert_eq!(1 + BLOCKS as u64, harness.reads_per_check().await);
    assert_eq!(
        0,
        harness.reads_per_check().await,
        "a recent read was not reused"
    );
    tokio::time::sleep(BEYOND_SHARED_READ).await;
    assert_eq!(1, harness.reads_per_check().await);
}

#[tokio::test(start_paused = true)]
async fn an_announced_write_is_found() {
    let harness = Harness::new().await;
    harness.check().await;
    write(&harness.store, &harness.names[3]).await;
    write(&harness.store, AUTHORITY_CHANGES).await;
    tokio::time::sleep(BEYOND_SHARED_READ).await;
    assert_eq!(harness.true_versions().await, harness.check().await);
}

#[tokio::test(start_paused = true)]
async fn a_write_that_is_not_announced_yet_is_found_after_its_announcement() {
    let harness = Harness::new().await;
    harness.check().await;
    write(&harness.store, &harness.names[3]).await;
    tokio::time::sleep(BEYOND_SHARED_READ).await;
    // The writer does not measure any waiting time yet, so missing the write here is harmless.
    harness.check().await;
    write(&harness.store, AUTHORITY_CHANGES).await;
    tokio::time::sleep(BEYOND_SHARED_READ).await;
    assert_eq!(harness.true_versions().await, harness.check().await);
}

#[tokio::test(start_paused = true)]
async fn a_block_changed_in_a_watch_is_read_again() {
    let harness = Harness::new().await;
    harness.check().await;
    let version = write(&harness.store, &harness.names[3]).await;
    tokio::time::sleep(BEYOND_SHARED_READ).await;
    let name = harness.names[3].clone();
    let seen = |asked: &str| if asked == name { version } else { Version(0) };
    assert_eq!(
        harness.true_versions().await,
        harness.check_having_seen(seen).await
    );
}

#[tokio::test(start_paused = true)]
async fn a_check_fails_while_the_store_is_down() {
    let harness = Harness::new().await;
    harness.check().await;
    tokio::time::sleep(BEYOND_SHARED_READ).await;
    harness.store.set_fault(Fault::Down);
    let failed = harness
        .reader
        .check(&harness.names, |_name| Version(0))
        .await;
    assert!(failed.is_err(), "the check succeeded without a read");
}
