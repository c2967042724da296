//! The shared retry budget within any sliding window.

use geraniummast_model::MonoTime;
use geraniummast_routing::RetryBudget;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 56.0;

#[test]
fn restarting_instances_stay_within_the_shared_budget() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let new = || RetryBudget::new(SPAN, RATIO, SLACK);
        let mut budgets: Vec<RetryBudget> = (0..8).map(|_| new()).collect();
        let mut requests: Vec<u64> = Vec::new();
        let mut retries: Vec<u64> = Vec::new();
        for step in 0..30_000_u64 {
            let at = step * 1_000;
            let instance = rng.random_range(0..budgets.len());
            if rng.random_range(0..4_000) == 0 {
                budgets[instance] = new();
            }
            if rng.random_range(0..5) == 0 {
                budgets[instance].record_request(MonoTime(at));
                requests.push(at);
                // Every request fails and asks for a retry.
                if budgets[instance].try_take(MonoTime(at), 8) {
                    retries.push(at);
                }
            }
        }
        let span = SPAN.as_micros() as u64;
        for (position, end) in retries.iter().enumerate() {
            let from = end.saturating_sub(span);
            let sent = retries[..=position].iter().filter(|at| **at > from).count();
            let requested = requests
                .iter()
                .filter(|at| **at > from && **at <= *end)
                .count();
            let allowed = RATIO * requested as f64 + SLACK;
            assert!(sent as f64 <= allowed, "seed {seed}: {sent} over {allowed}");
        }
    }
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut budget = RetryBudget::new(SPAN, 0.0, 10.0);
    let taken = (0..20).filter(|_| budget.try_take(MonoTime(0), 1)).count();
    assert_eq!(taken, 6);
    assert!(!budget.has_room(MonoTime(9_900_000), 1));
    assert!(budget.has_room(MonoTime(10_100_000), 1));
}
