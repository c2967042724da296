//! Estimates of a server's load, and the servers that get no requests because of failures.

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

#[test]
fn server_is_ejected_after_three_failures_and_probed_by_one_request() {
    let mut load = LoadTracker::new(3, 0.1);
    for _ in 0..3 {
        load.record_failure(MonoTime(0));
    }
    assert!(load.is_ejected(MonoTime(100_000)));
    assert!(!load.is_ejected(MonoTime(500_000)));
    load.request_started(MonoTime(500_000));
    assert!(
        load.is_ejected(MonoTime(510_000)),
        "only one request probes the server"
    );
    load.record_success(Duration::from_millis(90), false);
    load.request_ended();
    assert!(!load.is_ejected(MonoTime(600_000)));
}

#[test]
fn report_counts_foreign_requests_and_fades() {
    let mut load = LoadTracker::new(3, 0.1);
    load.request_started(MonoTime(0));
    let report = ReportedLoad {
        running: 3,
        waiting: 2,
        slots: 3,
        run_time_percent: None,
    };
    load.apply_report(report, MonoTime(0));
    let blank = LoadAssumptions::default();
    let typical = LoadAssumptions {
        typical_occupancy: 0.5,
        ..blank
    };
    assert!((load.estimated_requests(MonoTime(0), blank) - 5.0).abs() < 1e-9);
    assert!((load.estimated_requests(MonoTime(500_000), blank) - 3.0).abs() < 1e-9);
    // With its age, a report is replaced by the typical occupancy.
    assert!((load.estimated_requests(MonoTime(500_000), typical) - 3.75).abs() < 1e-9);
    assert!((load.estimated_requests(MonoTime(60_000_000), typical) - 2.5).abs() < 1e-9);
}

#[test]
fn silent_server_is_ejected_until_it_answers() {
    let mut load = LoadTracker::new(3, 0.1);
    load.request_started(MonoTime(0));
    load.request_started(MonoTime(100_000));
    assert!(!load.is_silent(MonoTime(590_000)));
    assert!(load.is_ejected(MonoTime(610_000)));
    load.record_answer(MonoTime(620_000));
    load.request_ended();
    assert!(
        !load.is_ejected(MonoTime(630_000)),
        "one answer ends the silence"
    );
    load.request_ended();
    assert!(!load.is_ejected(MonoTime(9_000_000)), "nothing in flight");
}

#[test]
fn expected_completion_of_short_requests_is_below_service_mean() {
    // Two routes share a service: requests of one run 0.2 s with a target of 0.6 s, those of the
    // other 0.64 s.
    let load = LoadTracker::new(6, 0.55);
    let short = LoadAssumptions {
        service_time_ratio: 0.36,
        ..LoadAssumptions::default()
    };
    assert!(load.expected_completion(MonoTime(0), short) < 0.21);
    assert!(load.expected_completion(MonoTime(0), LoadAssumptions::default()) > 0.5);
}
