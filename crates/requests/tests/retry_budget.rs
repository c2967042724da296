//! Bound on the number of retries.

use {
    geraniummast_requests::RetryBudget,
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

#[test]
fn random_history_keeps_retries_within_credit_and_initial_balance() {
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
            let bound = RetryBudget::MAX_BALANCE + successes * RetryBudget::SUCCESS_CREDIT;
            assert!(
                retries * RetryBudget::RETRY_COST <= bound,
                "seed {seed}, step {step}: {retries} retries after {successes} successes"
            );
        }
        assert!(
            retries > 20,
            "seed {seed}: only {retries} retries, so successes add no credit"
        );
    }
}
