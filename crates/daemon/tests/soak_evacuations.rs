//! Short soak run in which operators evacuate data centres.

mod soak_logs;

use geraniummast_soak::{FaultScenario, SoakPlan, run_plan};
use soak_logs::invalid_log_lines;
use std::{path::Path, time::Duration};

// Guards against requests that reach the servers of a data centre after an operator has taken it out of
// service, and against keys that stay with owners there.
#[test]
fn no_request_reaches_an_evacuated_data_centre_late() {
    let daemon_path = Path::new(env!("CARGO_BIN_EXE_geraniummastd"));
    let log_dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak-evacuations");
    let plan = SoakPlan {
        callers: 10,
        // One round of evacuations.
        fault_duration: Duration::from_secs(22),
        scenario: FaultScenario::Evacuations,
        ..SoakPlan::new(17, daemon_path, &log_dir)
    };
    let report = futures_lite::future::block_on(run_plan(&plan)).unwrap();
    println!("{}", report.summary());
    assert!(report.calls > 0 && report.injected_faults > 0);
    assert!(
        report.violations.is_empty(),
        "{}",
        report.violations.join("\n")
    );
    let lines = invalid_log_lines(&plan.log_dir);
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}
