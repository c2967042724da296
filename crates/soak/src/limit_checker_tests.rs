//! Tests that the check of named limits reports their violation, and none in valid records.

use crate::{guarantee_checker_tests::*, prelude::*};

/// Returns records of `count` requests of one instance to a limited server, one each 100 ms, and
/// the ledger with the limit, which all answers name.
fn limited_requests(
    count: u64,
    per_second: f64,
) -> (SoakLedger, Vec<CallRecord>, Vec<ExecutionRecord>) {
    let ledger = SoakLedger::default();
    ledger.limits.lock().unwrap().push(LimitPeriod {
        server: incarnation("s1"),
        per_second,
        from: at(0),
        until: at(60_000),
    });
    let ids: Vec<(String, u64)> = (0..count)
        .map(|number| (format!("limited-{number}"), number * 100))
        .collect();
    let calls = ids.iter().map(|(id, millis)| CallRecord {
        sent_at: at(*millis),
        ended_at: at(millis + 50),
        ..call(id, RequestKind::Lookup, answered(200))
    });
    let executions = ids.iter().map(|(id, millis)| ExecutionRecord {
        arrived_at: at(millis + 10),
        names_limit: true,
        ..execution(id, "plain")
    });
    (ledger, calls.collect(), executions.collect())
}

#[test]
fn more_requests_than_the_named_limit_allows_report_limit() {
    let (ledger, calls, executions) = limited_requests(100, 4.0);
    assert_eq!(violations_in(&ledger, calls, executions, &[]), ["LIMIT"]);
}

#[test]
fn requests_within_the_named_limit_report_nothing() {
    let (ledger, calls, executions) = limited_requests(100, 6.0);
    assert_eq!(
        violations_in(&ledger, calls, executions, &[]),
        Vec::<String>::new()
    );
}

#[test]
fn requests_of_an_instance_that_was_not_told_the_limit_report_nothing() {
    let (ledger, calls, mut executions) = limited_requests(100, 4.0);
    for execution in &mut executions {
        execution.names_limit = false;
    }
    assert_eq!(
        violations_in(&ledger, calls, executions, &[]),
        Vec::<String>::new()
    );
}
