//! Comparison of the sketch with exact counts.

use {
    geraniummast_balance::KeySketch,
    geraniummast_model::KeyHash,
    indexmap::IndexMap,
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

const CAPACITY: usize = 100;
const REQUESTS: u64 = 100_000;

#[test]
fn shares_are_underestimated_by_at_most_stated_error() {
    for seed in 1..=5 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sketch = KeySketch::new(CAPACITY);
        let mut exact: IndexMap<KeyHash, u64> = IndexMap::new();
        for _ in 0..REQUESTS {
            let skewed = rng.next_u32().leading_zeros() * 1_000;
            let key = KeyHash(u64::from(skewed + rng.next_u32() % (1 + skewed)));
            sketch.count(key);
            *exact.entry(key).or_default() += 1;
        }
        let error = 1.0 / (CAPACITY + 1) as f64;
        assert!(sketch.len() <= CAPACITY);
        let estimates: IndexMap<KeyHash, f64> = sketch
            .hot_keys(0.0)
            .into_iter()
            .map(|key| (key.hash, key.share))
            .collect();
        for (key, count) in exact {
            let share = count as f64 / REQUESTS as f64;
            let estimate = estimates.get(&key).copied().unwrap_or(0.0);
            assert!(
                estimate <= share && estimate >= share - error,
                "seed {seed}, {key}"
            );
        }
    }
}
