//! Short soak run in which operators evacuate data centres.

mod soak_runs;

use geraniummast_soak::{FaultScenario, SoakPlan};
use soak_runs::assert_plan_passes;
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
    assert_plan_passes(&plan);
}
