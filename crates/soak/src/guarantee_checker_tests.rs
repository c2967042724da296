//! Each check finds the broken promise that is planted for it, and nothing in sound records.

use crate::{guarantee_checker, prelude::*};

const SECOND: Duration = Duration::from_secs(1);

/// A time well after the run's begin, `millis` after it.
fn at(millis: u64) -> MonoTime {
    MonoTime(1_000_000_000 + millis * 1_000)
}

fn call(id: &str, kind: RequestKind, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: id.into(),
        kind,
        instance: 0,
        start_count: 1,
        sent_at: at(1_000),
        timeout: SECOND,
        ended_at: at(1_050),
        outcome,
    }
}

fn run(id: &str, service: &'static str) -> ExecutionRecord {
    ExecutionRecord {
        id: id.into(),
        service,
        server: incarnation("s1"),
        arrived_at: at(1_010),
        allowed_time: Some(SECOND),
        started_at: Some(at(1_011)),
        ended_at: Some(at(1_040)),
        outcome: ExecutionOutcome::Answered,
        draining_since: None,
    }
}

fn incarnation(id: &str) -> ServerIncarnation {
    ServerIncarnation {
        id: id.into(),
        born: 1,
    }
}

fn answered(status: u16) -> CallOutcome {
    CallOutcome::Answered(StatusCode::from_u16(status).unwrap(), None)
}

/// Rules that records break, with a served call of each kind at the end.
fn broken(
    calls: Vec<CallRecord>,
    runs: Vec<ExecutionRecord>,
    revisions: &[(u64, u64)],
) -> Vec<String> {
    broken_at(&SoakLedger::default(), calls, runs, revisions)
}

/// The same with a ledger that knows disturbances.
fn broken_at(
    ledger: &SoakLedger,
    calls: Vec<CallRecord>,
    runs: Vec<ExecutionRecord>,
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
    for run in runs {
        ledger.record_arrival(run);
    }
    let taken = revisions
        .iter()
        .map(|(revision, millis)| (*revision, at(*millis)));
    ledger.revisions.lock().unwrap().extend(taken);
    let faults = guarantee_checker::check(ledger, at(89_000));
    let rule = |fault: String| fault.split(':').next().unwrap_or_default().to_string();
    faults.into_iter().map(rule).collect()
}

#[test]
fn sound_records_break_nothing() {
    let calls = vec![
        call("a", RequestKind::Order, answered(200)),
        call("b", RequestKind::Order, answered(503)),
        call("c", RequestKind::Lookup, answered(504)),
    ];
    let runs = vec![run("a", "plain"), run("c", "plain")];
    assert_eq!(broken(calls, runs, &[]), Vec::<String>::new());
}

#[test]
fn a_refused_order_that_has_run_is_found() {
    let calls = vec![call("a", RequestKind::Order, answered(503))];
    assert_eq!(broken(calls, vec![run("a", "plain")], &[]), ["REFUSED"]);
}

#[test]
fn an_order_that_ran_twice_is_found() {
    let calls = vec![call("a", RequestKind::KeyedOrder, answered(200))];
    let runs = vec![run("a", "keyed"), run("a", "keyed")];
    assert_eq!(broken(calls, runs, &[]), ["TWICE"]);
}

#[test]
fn a_lookup_at_three_servers_is_found() {
    let calls = vec![call("a", RequestKind::Lookup, answered(200))];
    let runs = vec![run("a", "plain"), run("a", "plain"), run("a", "plain")];
    assert_eq!(broken(calls, runs, &[]), ["BUDGET"]);
}

#[test]
fn a_server_that_was_given_too_much_time_is_found() {
    let calls = vec![call("a", RequestKind::Lookup, answered(200))];
    let runs = vec![ExecutionRecord {
        allowed_time: Some(SECOND * 2),
        ..run("a", "plain")
    }];
    assert_eq!(broken(calls, runs, &[]), ["BUDGET"]);
}

#[test]
fn a_request_that_nobody_sent_is_found() {
    assert_eq!(
        broken(Vec::new(), vec![run("x", "plain")], &[]),
        ["UNASKED"]
    );
}

#[test]
fn a_wrong_answer_and_a_denied_request_are_found() {
    let ok = StatusCode::OK;
    let calls = vec![
        call(
            "a",
            RequestKind::Lookup,
            CallOutcome::Answered(ok, Some("torn")),
        ),
        call("b", RequestKind::Lookup, answered(404)),
    ];
    let runs = vec![run("a", "plain")];
    assert_eq!(broken(calls, runs, &[]), ["MIXED", "DENIED"]);
}

#[test]
fn a_connection_that_ends_under_a_passed_on_request_is_found() {
    let calls = vec![call(
        "a",
        RequestKind::Lookup,
        CallOutcome::Closed("reset".into()),
    )];
    assert_eq!(broken(calls, vec![run("a", "plain")], &[]), ["LOST"]);
}

/// A call whose connection ended some time after it was sent, with a ledger that knows of
/// disturbances in that time.
fn cut_after(millis: u64, outcome: CallOutcome, known: &[DisturbanceTarget]) -> Vec<String> {
    let ledger = SoakLedger::default();
    for what in known {
        ledger.record_disturbance_between(*what, at(1_000), at(2_000));
    }
    let call = CallRecord {
        ended_at: at(1_000 + millis),
        ..call("a", RequestKind::Lookup, outcome)
    };
    broken_at(&ledger, vec![call], Vec::new(), &[])
}

#[test]
fn a_request_that_was_sent_a_while_before_and_is_cut_around_planned_work_is_found() {
    let closed = || CallOutcome::Closed("reset".into());
    let planned = DisturbanceTarget::Planned(0);
    assert_eq!(cut_after(300, closed(), &[planned]), ["LOST"]);
    let none: [&str; 0] = [];
    assert_eq!(cut_after(100, closed(), &[planned]), none, "it crosses");
    let unsent = CallOutcome::Unsent("closed".into());
    assert_eq!(cut_after(300, unsent, &[planned]), none, "never sent");
    let other = DisturbanceTarget::Planned(1);
    assert_eq!(cut_after(300, closed(), &[other]), none, "elsewhere");
    let disturbed = [planned, DisturbanceTarget::Instance(0)];
    assert_eq!(cut_after(300, closed(), &disturbed), none, "disturbed");
}

#[test]
fn a_connection_that_had_ended_under_a_passed_on_request_is_found() {
    let outcome = CallOutcome::Unsent("closed".into());
    let calls = vec![call("a", RequestKind::Lookup, outcome)];
    assert_eq!(broken(calls, vec![run("a", "plain")], &[]), ["LOST"]);
}

#[test]
fn a_request_after_a_servers_notice_has_run_out_is_found() {
    let calls = vec![call("a", RequestKind::Lookup, answered(200))];
    let runs = vec![ExecutionRecord {
        draining_since: Some(at(1_010).before(SECOND * 3)),
        ..run("a", "plain")
    }];
    assert_eq!(broken(calls, runs, &[]), ["DRAIN"]);
}

#[test]
fn a_caller_kept_beyond_the_routes_time_is_found() {
    let calls = vec![CallRecord {
        ended_at: at(6_000),
        ..call("a", RequestKind::Lookup, answered(200))
    }];
    assert_eq!(broken(calls, vec![run("a", "plain")], &[]), ["CONFIG"]);
}

#[test]
fn a_configuration_that_is_late_or_goes_back_is_found() {
    let probe = |id: &str, millis: u64| CallRecord {
        sent_at: at(millis),
        ended_at: at(millis + 20),
        ..call(id, RequestKind::Probe, answered(200))
    };
    let seen = |id: &str, service, millis: u64| ExecutionRecord {
        arrived_at: at(millis + 5),
        ..run(id, service)
    };
    let revisions = [(1, 0), (2, 10_000)];
    let late = broken(
        vec![probe("a", 13_000)],
        vec![seen("a", "probe-b", 13_000)],
        &revisions,
    );
    assert_eq!(late, ["CONFIG"]);
    let back = broken(
        vec![probe("a", 10_500), probe("b", 11_500)],
        vec![seen("a", "probe-a", 10_500), seen("b", "probe-b", 11_500)],
        &revisions,
    );
    assert_eq!(back, ["CONFIG"]);
}

#[test]
fn requests_that_are_not_served_at_the_end_are_found() {
    let refused = |number: usize| CallRecord {
        sent_at: at(91_000),
        ended_at: at(91_010),
        ..call(&number.to_string(), RequestKind::Lookup, answered(503))
    };
    assert_eq!(
        broken((0..3).map(refused).collect(), Vec::new(), &[]),
        ["RECOVER"]
    );
}

#[test]
fn two_holders_of_a_key_and_a_stale_fence_are_found() {
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
