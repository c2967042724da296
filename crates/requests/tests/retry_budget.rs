//! Retries stay a bounded share of the successes.

use {
    geraniummast_requests::RetryBudget,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

#[test]
fn retries_never_exceed_the_share_of_successes_and_the_reserve() {
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut budget = RetryBudget::default();
        let (mut successes, mut retries) = (0_u32, 0_u32);
        for step in 0..2_000 {
            match random.random_bool(0.6) {
                true => {
                    budget.record_success();
                    successes += 1;
                }
                false => retries += u32::from(budget.try_take()),
            }
            let bound = RetryBudget::RESERVE + successes * RetryBudget::SHARE;
            assert!(
                retries * RetryBudget::COST <= bound,
                "seed {seed}, step {step}: {retries} retries after {successes} successes"
            );
        }
        assert!(retries > 20, "seed {seed}: successes bring no retries");
    }
}
