//! Runs of soak plans, a few at a time, and the checks of what they report and log.

mod soak_logs;

use geraniummast_soak::{SoakPlan, run_plan};
use soak_logs::invalid_log_lines;
use std::sync::{Condvar, Mutex};

/// Number of plans that run at the same time: more would slow the simulated platform down.
const MAX_RUNS: usize = 4;
static RUNS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Counts as a run until it is dropped.
struct RunSlot;

impl RunSlot {
    fn wait() -> Self {
        let (runs, freed) = &RUNS;
        let guard = runs.lock().unwrap();
        let mut guard = freed.wait_while(guard, |runs| *runs >= MAX_RUNS).unwrap();
        *guard += 1;
        Self
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        let (runs, freed) = &RUNS;
        *runs.lock().unwrap() -= 1;
        freed.notify_one();
    }
}

/// Runs a plan and returns the violated guarantees.
fn violations_of(plan: &SoakPlan) -> Vec<String> {
    let _slot = RunSlot::wait();
    let report = futures_lite::future::block_on(run_plan(plan)).unwrap();
    println!("{}", report.summary());
    assert!(report.calls > 0 && report.injected_faults > 0);
    report.violations
}

/// Asserts that a run of the plan violates no guarantee and that all log lines are as documented.
pub(crate) fn assert_plan_passes(plan: &SoakPlan) {
    let seed = plan.seed;
    let violations = violations_of(plan);
    assert!(
        violations.is_empty(),
        "seed {seed}: {}",
        violations.join("\n")
    );
    let lines = invalid_log_lines(&plan.log_dir);
    assert!(lines.is_empty(), "seed {seed}: {}", lines.join("\n"));
}
