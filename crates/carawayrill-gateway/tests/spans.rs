//! The routing table of a front that receives only the changes that it missed.

use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::spans::Holder;
use carawayrill_core::direct::spans::Span;
use carawayrill_core::id::Era;
use carawayrill_core::id::Version;
use carawayrill_gateway::spans::PublishedTable;
use carawayrill_gateway::spans::SpanTable;
use carawayrill_gateway::spans::TablePosition;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The number of changes that granters publish in one run.
const CHANGES_PER_RUN: u64 = 60;
/// The number of runs, each with its own seed.
const SEEDS: u64 = 200;

fn span(first: usize, last: usize, server: u32, fence: u64) -> Span {
    let key = |key: usize| u16::try_from(key).expect("a key");
    Span {
        range: KeyRange {
            first: key(first),
            last: key(last),
        },
        holder: Holder {
            server: format!("s-{server}").parse().expect("a name"),
            born: Born(1),
            address: "127.0.0.1:2000".parse().expect("an address"),
        },
        fence: Fence(fence),
        handover: None,
        former: None,
    }
}

/// Draws spans that cover all keys. With few boundaries and servers, parts of successive tables
/// stay the same.
fn draw(rng: &mut ChaCha8Rng) -> Vec<Span> {
    let mut spans = Vec::new();
    let mut first = 0;
    for bound in 1..=16 {
        let end = bound << 12;
        if bound == 16 || rng.random_bool(0.6) {
            let server = rng.random_range(0..3);
            spans.push(span(first, end - 1, server, u64::from(server)));
            first = end;
        }
    }
    spans
}

fn version(version: u64) -> StoredVersion {
    StoredVersion {
        era: Era::default(),
        version: Version(version),
    }
}

#[test]
fn one_delta_brings_a_front_up_to_date_after_missed_changes() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut front = SpanTable::default();
        let mut table: Option<PublishedTable> = None;
        for change in 0..CHANGES_PER_RUN {
            // After every 20 changes another granter takes over with the stored spans.
            let granter = version(1 + change / 20);
            let previous = table.filter(|table| table.position().granter == granter);
            let spans = draw(&mut rng);
            let position = TablePosition { granter, change };
            let next = PublishedTable::new(version(change), position, &spans, previous.as_ref());
            if rng.random_bool(0.4) {
                let delta = next.delta_since(front.position).expect("a delta");
                front.apply(&delta);
                let expected = SpanTable::from_stored(version(change), &spans);
                assert_eq!(front.spans, expected.spans, "seed {seed}, change {change}");
                assert_eq!(next.delta_since(front.position), None);
            }
            table = Some(next);
        }
    }
}

#[test]
fn a_rejoining_front_gets_only_the_spans_that_it_missed() {
    let position = |change| TablePosition {
        granter: version(1),
        change,
    };
    let first = [span(0, 9_999, 1, 1), span(10_000, 65_535, 2, 2)];
    let second = [span(0, 9_999, 1, 1), span(10_000, 65_535, 3, 3)];
    let previous = PublishedTable::new(version(1), position(1), &first, None);
    let table = PublishedTable::new(version(2), position(2), &second, Some(&previous));
    let delta = table.delta_since(Some(position(1))).expect("a delta");
    assert_eq!(delta.spans.len(), 1);
    assert_eq!(table.delta_since(None).expect("all").spans.len(), 2);
}
