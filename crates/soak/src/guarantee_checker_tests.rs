//! Tests that each check reports the violation it is for, and none in valid records.

use crate::{guarantee_checker, prelude::*};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a time in milliseconds after an origin that leaves room for earlier times.
pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime(1_000_000_000 + millis * 1_000)
}

pub(crate) fn call(id: &str, kind: RequestKind, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: id.into(),
        kind,
        instance: 0,
        start_count: 1,
        sent_at: at(1_000),
        timeout: SECOND,
        ended_at: at(1_050),
        outcome,
        is_first_attempt: true,
    }
}

pub(crate) fn execution(id: &str, service: &'static str) -> ExecutionRecord {
    ExecutionRecord {
        id: id.into(),
        service,
        server: incarnation("s1"),
        arrived_at: at(1_010),
        allowed_time: Some(SECOND),
        started_at: Some(at(1_011)),
        ended_at: Some(at(1_040)),
        outcome: ExecutionOutcome::Answered,
        leaving_since: None,
        names_limit: false,
        poison: None,
        notice: None,
    }
}

pub(crate) fn incarnation(id: &str) -> ServerIncarnation {
    ServerIncarnation {
        id: id.into(),
        born: 1,
    }
}

pub(crate) fn answered(status: u16) -> CallOutcome {
    CallOutcome::Answered(StatusCode::from_u16(status).unwrap(), None)
}

/// Returns the guarantees that the records violate; adds a served call of each kind at the end.
fn violations_of(
    calls: Vec<CallRecord>,
    executions: Vec<ExecutionRecord>,
    revisions: &[(u64, u64)],
) -> Vec<String> {
    violations_in(&SoakLedger::default(), calls, executions, revisions)
}

/// Like `violations_of`, with a ledger that may contain disturbances.
pub(crate) fn violations_in(
    ledger: &SoakLedger,
    calls: Vec<CallRecord>,
    executions: Vec<ExecutionRecord>,
    revisions: &[(u64, u64)],
) -> Vec<String> {
    for kind in RequestKind::SENT_BY_CALLERS {
        let id = format!("last-{kind:?}");
        ledger.record_call(CallRecord {
            sent_at: at(90_000),
            ended_at: at(90_010),
            ..call(&id, kind, answered(200))
        });
    }
    calls.into_iter().for_each(|call| ledger.record_call(call));
    ledger.executions.lock().unwrap().extend(executions);
    let written = revisions.iter().map(|(revision, ms)| (*revision, at(*ms)));
    ledger.revisions.lock().unwrap().extend(written);
    let violations = guarantee_checker::check(ledger, at(89_000));
    let rule = |violation: &String| violation.split(':').next().map(String::from);
    violations.iter().filter_map(rule).collect()
}

#[test]
fn valid_records_report_no_violation() {
    let calls = vec![
        call("a", RequestKind::Order, answered(200)),
        call("b", RequestKind::Order, answered(503)),
        call("c", RequestKind::Lookup, answered(504)),
    ];
    let executions = vec![execution("a", "plain"), execution("c", "plain")];
    assert!(violations_of(calls, executions, &[]).is_empty());
}

#[test]
fn refused_order_with_execution_reports_refused() {
    let calls = vec![call("a", RequestKind::Order, answered(503))];
    assert_eq!(
        violations_of(calls, vec![execution("a", "plain")], &[]),
        ["REFUSED"]
    );
}

#[test]
fn order_executed_twice_reports_twice() {
    let calls = vec![call("a", RequestKind::KeyedOrder, answered(200))];
    let executions = vec![execution("a", "keyed"), execution("a", "keyed")];
    assert_eq!(violations_of(calls, executions, &[]), ["TWICE"]);
}

#[test]
fn lookup_sent_to_three_servers_reports_budget() {
    let calls = vec![call("a", RequestKind::Lookup, answered(200))];
    let executions = vec![
        execution("a", "plain"),
        execution("a", "plain"),
        execution("a", "plain"),
    ];
    assert_eq!(violations_of(calls, executions, &[]), ["BUDGET"]);
}

#[test]
fn server_allowed_too_much_time_reports_budget() {
    let calls = vec![call("a", RequestKind::Lookup, answered(200))];
    let executions = vec![ExecutionRecord {
        allowed_time: Some(SECOND * 2),
        ..execution("a", "plain")
    }];
    assert_eq!(violations_of(calls, executions, &[]), ["BUDGET"]);
}

#[test]
fn execution_without_call_reports_unasked() {
    assert_eq!(
        violations_of(Vec::new(), vec![execution("x", "plain")], &[]),
        ["UNASKED"]
    );
}

#[test]
fn invalid_and_denied_answers_report_mixed_and_denied() {
    let ok = StatusCode::OK;
    let calls = vec![
        call(
            "a",
            RequestKind::Lookup,
            CallOutcome::Answered(ok, Some("torn")),
        ),
        call("b", RequestKind::Lookup, answered(404)),
    ];
    let executions = vec![execution("a", "plain")];
    assert_eq!(violations_of(calls, executions, &[]), ["MIXED", "DENIED"]);
}

#[test]
fn connection_closed_after_forwarding_reports_lost() {
    let calls = vec![call(
        "a",
        RequestKind::Lookup,
        CallOutcome::Closed("reset".into()),
    )];
    assert_eq!(
        violations_of(calls, vec![execution("a", "plain")], &[]),
        ["LOST"]
    );
}

/// Returns the violations of a call that ended `millis` after it was sent, with disturbances during
/// that time.
fn cut_after(millis: u64, outcome: CallOutcome, targets: &[DisturbanceTarget]) -> Vec<String> {
    let ledger = SoakLedger::default();
    for target in targets {
        ledger.record_disturbance_between(*target, at(1_000), at(2_000));
    }
    let call = CallRecord {
        ended_at: at(1_000 + millis),
        ..call("a", RequestKind::Lookup, outcome)
    };
    violations_in(&ledger, vec![call], Vec::new(), &[])
}

#[test]
fn request_cut_during_planned_work_reports_lost() {
    let closed = || CallOutcome::Closed("reset".into());
    let planned = DisturbanceTarget::PlannedWork(0);
    assert_eq!(cut_after(300, closed(), &[planned]), ["LOST"]);
    let none: [&str; 0] = [];
    assert_eq!(
        cut_after(100, closed(), &[planned]),
        none,
        "closed while the request was on its way"
    );
    let unsent = CallOutcome::Unsent("closed".into());
    assert_eq!(cut_after(300, unsent, &[planned]), none, "never sent");
    let other = DisturbanceTarget::PlannedWork(1);
    assert_eq!(
        cut_after(300, closed(), &[other]),
        none,
        "planned work at another instance"
    );
    let disturbed = [planned, DisturbanceTarget::Instance(0)];
    assert_eq!(cut_after(300, closed(), &disturbed), none, "disturbed");
    let store = [planned, DisturbanceTarget::Store];
    assert_eq!(cut_after(300, closed(), &store), ["LOST"], "needs no store");
}

#[test]
fn unsent_request_with_execution_reports_lost() {
    let outcome = CallOutcome::Unsent("closed".into());
    let calls = vec![call("a", RequestKind::Lookup, outcome)];
    assert_eq!(
        violations_of(calls, vec![execution("a", "plain")], &[]),
        ["LOST"]
    );
}

#[test]
fn request_after_drain_time_reports_drain() {
    let calls = vec![call("a", RequestKind::Lookup, answered(200))];
    let executions = vec![ExecutionRecord {
        leaving_since: Some(at(1_010).before(SECOND * 3)),
        ..execution("a", "plain")
    }];
    assert_eq!(violations_of(calls, executions, &[]), ["DRAIN"]);
}

#[test]
fn caller_waiting_beyond_route_timeout_reports_config() {
    let calls = vec![CallRecord {
        ended_at: at(6_000),
        ..call("a", RequestKind::Lookup, answered(200))
    }];
    assert_eq!(
        violations_of(calls, vec![execution("a", "plain")], &[]),
        ["CONFIG"]
    );
}

#[test]
fn request_at_a_service_of_another_route_reports_route() {
    let calls = vec![call("a", RequestKind::Lookup, answered(200))];
    let executions = vec![execution("a", "probe-a")];
    assert_eq!(violations_of(calls, executions, &[]), ["ROUTE"]);
}

#[test]
fn unserved_requests_after_recovery_report_recover() {
    let refused = |number: usize| CallRecord {
        sent_at: at(91_000),
        ended_at: at(91_010),
        ..call(&number.to_string(), RequestKind::Lookup, answered(503))
    };
    assert_eq!(
        violations_of((0..3).map(refused).collect(), Vec::new(), &[]),
        ["RECOVER"]
    );
}

#[test]
fn grant_to_second_server_without_higher_fence_reports_owner() {
    let ledger = SoakLedger::default();
    let order = |fence| KeyOrder {
        first: 5,
        last: 9,
        fence,
        grant_duration_s: 2.0,
        handover: None,
    };
    ledger.check_grant(&incarnation("s1"), &order(4), false);
    ledger.check_grant(&incarnation("s1"), &order(4), false);
    assert!(ledger.violations.lock().unwrap().is_empty(), "a renewal");
    ledger.check_grant(&incarnation("s2"), &order(4), false);
    assert_eq!(ledger.violations.lock().unwrap().len(), 1);
    ledger.check_grant(&incarnation("s2"), &order(5), false);
    assert_eq!(ledger.violations.lock().unwrap().len(), 1);
}
