//! What fronts know of spans after they were told only what they had missed.

use carawayrill_core::direct::keys::Born;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::direct::spans::Holder;
use carawayrill_core::direct::spans::Span;
use carawayrill_core::id::Version;
use carawayrill_gateway::spans::SpanTable;
use carawayrill_gateway::spans::Told;
use carawayrill_gateway::spans::ToldTable;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The tables that a granter tells in one run.
const CHANGES: u64 = 60;
/// The runs.
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

/// Draws spans of all keys. Few bounds and servers make parts of tables stay the same.
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

#[test]
fn a_front_that_missed_changes_knows_all_after_the_next_one() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut front = SpanTable::default();
        let mut table: Option<ToldTable> = None;
        for change in 0..CHANGES {
            // Now and then another granter goes on, from what is stored.
            let granter = Version(1 + change / 20);
            let before = table.filter(|table| table.told().granter == granter);
            let spans = draw(&mut rng);
            let told = Told { granter, change };
            let next = ToldTable::new(Version(change), told, &spans, before.as_ref());
            if rng.random_bool(0.4) {
                let news = next.since(front.told).expect("something new");
                front.put(&news);
                let whole = SpanTable::stored(Version(change), &spans);
                assert_eq!(front.spans, whole.spans, "seed {seed}, change {change}");
                assert_eq!(next.since(front.told), None);
            }
            table = Some(next);
        }
    }
}

#[test]
fn a_front_that_comes_back_is_not_told_what_it_knows() {
    let told = |change| Told {
        granter: Version(1),
        change,
    };
    let first = [span(0, 9_999, 1, 1), span(10_000, 65_535, 2, 2)];
    let second = [span(0, 9_999, 1, 1), span(10_000, 65_535, 3, 3)];
    let before = ToldTable::new(Version(1), told(1), &first, None);
    let table = ToldTable::new(Version(2), told(2), &second, Some(&before));
    let news = table.since(Some(told(1))).expect("something new");
    assert_eq!(news.spans.len(), 1);
    assert_eq!(table.since(None).expect("all").spans.len(), 2);
}
