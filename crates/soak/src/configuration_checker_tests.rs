//! Tests that requests routed by a wrong configuration are reported, and no others.

use crate::{
    guarantee_checker_tests::{answered, at, call, execution, violations_in},
    prelude::*,
};

/// Revision 2 removes no passing route, revision 4 the one of revision 1.
const REVISIONS: [(u64, u64); 4] = [(1, 0), (2, 10_000), (3, 20_000), (4, 30_000)];

/// Request of instance 0 and what a server saw of it, if one did.
struct Observation {
    call: CallRecord,
    execution: Option<ExecutionRecord>,
}

fn observation(kind: RequestKind, sent: u64, service: Option<&'static str>) -> Observation {
    let id = format!("{kind:?}-{sent}");
    let status = if service.is_some() { 200 } else { 404 };
    Observation {
        execution: service.map(|service| ExecutionRecord {
            arrived_at: at(sent + 5),
            ..execution(&id, service)
        }),
        call: CallRecord {
            sent_at: at(sent),
            ended_at: at(sent + 20),
            ..call(&id, kind, answered(status))
        },
    }
}

/// A probe that `service` ran.
fn probe(sent: u64, service: &'static str) -> Observation {
    observation(RequestKind::Probe, sent, Some(service))
}

/// A run on the passing route of a revision.
fn run(sent: u64, added: u64) -> Observation {
    observation(RequestKind::Passing(added), sent, Some("plain"))
}

/// A 404 on the passing route of a revision.
fn missing(sent: u64, added: u64) -> Observation {
    observation(RequestKind::Passing(added), sent, None)
}

fn violations_of(observations: impl IntoIterator<Item = Observation>) -> Vec<String> {
    violations_with(&SoakLedger::default(), observations, &REVISIONS)
}

fn violations_with(
    ledger: &SoakLedger,
    observations: impl IntoIterator<Item = Observation>,
    revisions: &[(u64, u64)],
) -> Vec<String> {
    let (mut calls, mut executions) = (Vec::new(), Vec::new());
    for observation in observations {
        calls.push(observation.call);
        executions.extend(observation.execution);
    }
    violations_in(ledger, calls, executions, revisions)
}

const NONE: [&str; 0] = [];

#[test]
fn probe_routed_by_a_late_revision_reports_config() {
    assert_eq!(violations_of([probe(13_000, "probe-b")]), ["CONFIG"]);
    assert_eq!(violations_of([probe(11_900, "probe-b")]), NONE, "in time");
    assert_eq!(violations_of([probe(13_000, "probe-c")]), NONE, "in force");
}

#[test]
fn probe_routed_by_an_older_revision_than_before_reports_config() {
    let back = [probe(10_500, "probe-c"), probe(11_500, "probe-b")];
    assert_eq!(violations_of(back), ["CONFIG"]);
    let at_once = [probe(10_500, "probe-c"), probe(10_700, "probe-b")];
    assert_eq!(violations_of(at_once), NONE, "within the slack");
}

// Guards against a checker that forgets what an instance has shown as soon as it shows something newer.
#[test]
fn probe_routed_back_just_after_a_further_change_reports_config() {
    let revisions = [(1, 0), (2, 10_000), (3, 10_600)];
    let observations = [
        probe(10_100, "probe-c"),
        probe(10_650, "probe-d"),
        probe(10_700, "probe-b"),
    ];
    let ledger = SoakLedger::default();
    assert_eq!(
        violations_with(&ledger, observations, &revisions),
        ["CONFIG"]
    );
}

// Guards against a checker that takes a revision for the one after the next, because both route the
// probe to the same service.
#[test]
fn late_revision_among_frequent_changes_reports_config() {
    let revisions = [(1, 0), (2, 5_000), (3, 5_500), (4, 6_000), (5, 6_500)];
    let ledger = SoakLedger::default();
    let violations = violations_with(&ledger, [probe(8_200, "probe-b")], &revisions);
    assert_eq!(violations, ["CONFIG"]);
}

#[test]
fn missing_route_that_was_added_reports_config() {
    assert_eq!(violations_of([missing(12_100, 2)]), ["CONFIG"]);
    assert_eq!(violations_of([missing(11_900, 2)]), NONE, "in time");
    assert_eq!(violations_of([missing(30_100, 1)]), NONE, "just removed");
}

#[test]
fn run_on_a_route_that_was_removed_reports_config() {
    assert_eq!(violations_of([run(32_100, 1)]), ["CONFIG"]);
    assert_eq!(violations_of([run(31_900, 1)]), NONE, "in time");
    assert_eq!(violations_of([run(32_100, 2)]), NONE, "in force");
}

#[test]
fn added_route_that_goes_missing_again_reports_config() {
    let back = [run(10_100, 2), missing(10_500, 2)];
    assert_eq!(violations_of(back), ["CONFIG"]);
    let removed = [run(30_100, 1), missing(30_500, 1)];
    assert_eq!(violations_of(removed), NONE, "removed meanwhile");
}

#[test]
fn removed_route_that_is_run_again_reports_config() {
    let back = [probe(30_100, "probe-e"), run(30_500, 1)];
    assert_eq!(violations_of(back), ["CONFIG"]);
}

// Guards against a checker that takes a cut from the servers for a disturbance: the instance stays in
// touch, and what others run for it must be routed by what it has shown.
#[test]
fn older_revision_for_a_cut_instance_reports_config() {
    let ledger = SoakLedger::default();
    let cut = crate::reach_checker::CutPeriod {
        instances: vec![0],
        from: at(9_000),
        until: at(12_000),
    };
    ledger.cut_periods.lock().unwrap().push(cut);
    let back = [probe(10_500, "probe-c"), probe(11_500, "probe-b")];
    assert_eq!(violations_with(&ledger, back, &REVISIONS), ["CONFIG"]);
}

#[test]
fn disturbed_instance_is_not_judged() {
    let ledger = SoakLedger::default();
    let target = DisturbanceTarget::Instance(0);
    ledger.record_disturbance_between(target, at(9_000), at(14_000));
    let observations = [probe(13_000, "probe-b"), missing(16_000, 2)];
    assert_eq!(violations_with(&ledger, observations, &REVISIONS), NONE);
}

// Guards against a checker that takes a disturbance of the store for an excuse of an instance that goes
// back: only a late configuration is excused.
#[test]
fn older_revision_while_the_store_is_disturbed_reports_config() {
    let ledger = SoakLedger::default();
    let target = DisturbanceTarget::Store;
    ledger.record_disturbance_between(target, at(9_000), at(14_000));
    let back = [probe(10_500, "probe-c"), probe(11_500, "probe-b")];
    assert_eq!(violations_with(&ledger, back, &REVISIONS), ["CONFIG"]);
    let late = [probe(16_000, "probe-b")];
    let ledger = SoakLedger::default();
    ledger.record_disturbance_between(target, at(9_000), at(14_000));
    assert_eq!(violations_with(&ledger, late, &REVISIONS), NONE, "excused");
}
