//! A short run of the soak with fixed seeds, over processes of this build.

use geraniummast_soak::{SoakPlan, play};
use std::{path::Path, time::Duration};

fn faults_of(seed: u64) -> Vec<String> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_geraniummastd"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let plan = SoakPlan {
        instances: 3,
        servers: 4,
        callers: 10,
        fault_time: Duration::from_secs(6),
        ..SoakPlan::new(seed, daemon, &folder)
    };
    let report = futures_lite::future::block_on(play(&plan)).unwrap();
    println!("{}", report.line());
    assert!(report.calls > 0 && report.events > 0);
    report.faults
}

#[test]
fn no_promise_breaks_under_the_faults_of_two_fixed_seeds() {
    for seed in [1, 7] {
        let faults = faults_of(seed);
        assert!(faults.is_empty(), "seed {seed}: {}", faults.join("\n"));
    }
}
