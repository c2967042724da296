//! Estimates of a server's load from its reports.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use std::time::Duration;

// Guards against an instance that fails all requests of a service, because one answer with an
// absurd load made the arithmetic panic while the server's state was locked.
#[test]
fn absurd_load_reports_leave_finite_estimates() {
    let extremes = [0, 1, u32::MAX - 1, u32::MAX];
    let now = MonoTime(5_000_000);
    for running in extremes {
        for waiting in extremes {
            for slots in extremes {
                let mut load = LoadTracker::new(slots, 0.1);
                load.request_started(now);
                let report = ReportedLoad {
                    running,
                    waiting,
                    slots,
                    run_time_percent: None,
                };
                load.apply_report(report, now);
                let expected = load.expected_completion(now, LoadAssumptions::default());
                assert!(
                    Duration::try_from_secs_f64(expected).is_ok(),
                    "{report:?}: {expected}"
                );
            }
        }
    }
}
