//! A short run of the soak with fixed seeds, over processes of this build.

use geraniummast_soak::{SoakPlan, SoakScript, play};
use std::{path::Path, time::Duration};

fn plan(seed: u64, name: &str) -> SoakPlan {
    let daemon = Path::new(env!("CARGO_BIN_EXE_geraniummastd"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}-{seed}"));
    SoakPlan {
        instances: 3,
        servers: 4,
        callers: 10,
        fault_time: Duration::from_secs(6),
        ..SoakPlan::new(seed, daemon, &folder)
    }
}

fn faults_of(plan: &SoakPlan) -> Vec<String> {
    let report = futures_lite::future::block_on(play(plan)).unwrap();
    println!("{}", report.line());
    assert!(report.calls > 0 && report.events > 0);
    report.faults
}

#[test]
fn no_promise_breaks_under_the_faults_of_two_fixed_seeds() {
    for seed in [1, 7] {
        let faults = faults_of(&plan(seed, "drawn"));
        assert!(faults.is_empty(), "seed {seed}: {}", faults.join("\n"));
    }
}

#[test]
fn an_instance_that_stops_answers_what_silent_servers_leave_open() {
    let plan = SoakPlan {
        // A stop that ends before the callers' and the routes' time does.
        grace_time: Duration::from_millis(2_500),
        script: SoakScript::StopAtSilentServers,
        ..plan(3, "stop")
    };
    let faults = faults_of(&plan);
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
