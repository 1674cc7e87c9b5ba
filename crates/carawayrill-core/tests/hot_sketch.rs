//! Tests of the hot-key sketch on skewed streams with fixed seeds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use carawayrill_core::hot::Sketch;
use carawayrill_core::id::KeyHash;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Samples keys from a Zipf distribution with exponent 1: the weight of key `r` is 1/(r+1).
#[derive(Debug)]
struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    fn new(keys: u32) -> Self {
        let mut sum = 0.0;
        let cumulative = (1..=keys).map(|rank| {
            sum += 1.0 / f64::from(rank);
            sum
        });
        Self {
            cumulative: cumulative.collect(),
        }
    }

    fn sample(&self, rng: &mut impl Rng) -> u64 {
        let at = rng.random::<f64>() * self.cumulative[self.cumulative.len() - 1];
        self.cumulative.partition_point(|&sum| sum < at) as u64
    }
}

/// A sketch with 256 counters finds the hottest 12 of 100,000 keys, also after all keys change.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn hottest_twelve_after_a_change(#[case] seed: u64) {
    const SAMPLES: usize = 50_000;
    let zipf = Zipf::new(100_000);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sketch = Sketch::new(256);
    for (shift, half_lives) in [(0, 1), (500_000, 3)] {
        for _ in 0..half_lives {
            sketch.decay();
            for _ in 0..SAMPLES {
                sketch.add(KeyHash(zipf.sample(&mut rng) + shift));
            }
        }
        // Adjacent keys at the end of the list have almost equal shares, so the hottest 12 keys are
        // searched among the first 16.
        let found: BTreeSet<u64> = sketch.top(16).iter().map(|hot| hot.key.0).collect();
        let missed: Vec<u64> = (shift..shift + 12)
            .filter(|key| !found.contains(key))
            .collect();
        assert!(missed.is_empty(), "seed {seed}, shift {shift}: {missed:?}");
    }
    assert_eq!(sketch.len(), 256);
}

#[test]
fn share_is_a_lower_bound() {
    let mut sketch = Sketch::new(4);
    assert_eq!(sketch.top(1), []);
    for number in 0..300 {
        sketch.add(KeyHash(number % 3));
    }
    let shares: Vec<String> = sketch
        .top(9)
        .iter()
        .map(|hot| sketch.share(*hot).to_string())
        .collect();
    assert_eq!(shares, ["0.333"; 3]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(12), ..ProptestConfig::with_cases(300) })]

    /// The documented bounds hold: the count is never lower than the true count, the guaranteed
    /// count never higher, the error at most total / capacity plus rounding, and each key with a
    /// count above that bound is in the sketch.
    #[test]
    fn bounds_hold(capacity in 1_usize..20, keys in prop::collection::vec(prop::option::weighted(0.98, 0_u64..40), 0..600)) {
        let mut sketch = Sketch::new(capacity);
        let mut truth: BTreeMap<u64, f64> = BTreeMap::new();
        let mut total = 0.0_f64;
        let mut decays = 0_u32;
        for key in keys {
            if let Some(key) = key {
                sketch.add(KeyHash(key));
                *truth.entry(key).or_default() += 1.0;
                total += 1.0;
            } else {
                sketch.decay();
                for count in truth.values_mut() {
                    *count /= 2.0;
                }
                total /= 2.0;
                decays += 1;
            }
        }
        prop_assert!(sketch.len() <= capacity);
        let rounding = f64::from(decays.min(1)) * 4.0;
        let bound = total / capacity as f64 + rounding;
        let top = sketch.top(capacity);
        for hot in &top {
            let count = truth.get(&hot.key.0).copied().unwrap_or(0.0);
            prop_assert!(hot.count as f64 >= count, "{hot:?} {count}");
            prop_assert!(hot.guaranteed() as f64 <= count, "{hot:?} {count}");
            prop_assert!(hot.error as f64 <= bound, "{hot:?} {bound}");
        }
        let found: BTreeSet<u64> = top.iter().map(|hot| hot.key.0).collect();
        prop_assert!(truth.iter().all(|(key, count)| *count <= bound || found.contains(key)));
    }
}
