//! Tests that the check of cold servers reports their violation, and none in valid records.

use crate::{cold_checker, guarantee_checker_tests::*, prelude::*};

fn requests(count: u64, interval_ms: u64) -> Vec<ExecutionRecord> {
    let request = |number| ExecutionRecord {
        arrived_at: at(number * interval_ms),
        ..execution(&format!("cold-{number}"), "plain")
    };
    (0..count).map(request).collect()
}

fn ledger(until: u64) -> SoakLedger {
    let ledger = SoakLedger::default();
    ledger.cold_periods.lock().unwrap().push(ColdPeriod {
        server: incarnation("s1"),
        from: at(0),
        until: at(until),
    });
    ledger
}

#[test]
fn more_requests_than_a_cold_server_may_get_report_cold() {
    let violations = cold_checker::check(&ledger(8_000), &requests(19, 50));
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].starts_with("COLD"));
}

#[test]
fn requests_within_the_bound_or_after_the_cold_time_report_nothing() {
    let within = cold_checker::check(&ledger(8_000), &requests(200, 60));
    assert!(within.is_empty(), "{within:?}");
    let after = cold_checker::check(&ledger(800), &requests(200, 50));
    assert!(after.is_empty(), "{after:?}");
}
