//! Version checks: what they cost, and that they never miss an announced intent.

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

/// Longer than a read is shared: the reader then has to ask anew.
const LATER: Duration = Duration::from_millis(250);

struct Bench {
    store: Arc<MemoryStore>,
    reader: VersionReader,
    names: Vec<CompactString>,
}

impl Bench {
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

    async fn reads_of_a_check(&self) -> u64 {
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
async fn a_quiet_check_costs_one_read_however_many_blocks() {
    let bench = Bench::new().await;
    assert_eq!(1 + BLOCKS as u64, bench.reads_of_a_check().await);
    assert_eq!(
        0,
        bench.reads_of_a_check().await,
        "a read just made was not shared"
    );
    tokio::time::sleep(LATER).await;
    assert_eq!(1, bench.reads_of_a_check().await);
}

#[tokio::test(start_paused = true)]
async fn an_announced_write_is_found() {
    let bench = Bench::new().await;
    bench.check().await;
    write(&bench.store, &bench.names[3]).await;
    write(&bench.store, AUTHORITY_CHANGES).await;
    tokio::time::sleep(LATER).await;
    assert_eq!(bench.true_versions().await, bench.check().await);
}

#[tokio::test(start_paused = true)]
async fn a_write_that_is_not_announced_yet_is_found_after_its_announcement() {
    let bench = Bench::new().await;
    bench.check().await;
    write(&bench.store, &bench.names[3]).await;
    tokio::time::sleep(LATER).await;
    // The writer counts no time yet, so missing the write here does no harm.
    bench.check().await;
    write(&bench.store, AUTHORITY_CHANGES).await;
    tokio::time::sleep(LATER).await;
    assert_eq!(bench.true_versions().await, bench.check().await);
}

#[tokio::test(start_paused = true)]
async fn a_block_that_a_watch_told_of_is_read_anew() {
    let bench = Bench::new().await;
    bench.check().await;
    let version = write(&bench.store, &bench.names[3]).await;
    tokio::time::sleep(LATER).await;
    let name = bench.names[3].clone();
    let seen = |asked: &str| if asked == name { version } else { Version(0) };
    assert_eq!(
        bench.true_versions().await,
        bench.check_having_seen(seen).await
    );
}

#[tokio::test(start_paused = true)]
async fn a_check_fails_while_the_store_is_down() {
    let bench = Bench::new().await;
    bench.check().await;
    tokio::time::sleep(LATER).await;
    bench.store.set_fault(Fault::Down);
    let failed = bench.reader.check(&bench.names, |_name| Version(0)).await;
    assert!(failed.is_err(), "authority was given out without a read");
}
