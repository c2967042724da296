//! Tests that late requests at evacuated servers are reported, and no others.

use crate::{
    evacuation_checker::{self, EvacuationPeriod},
    guarantee_checker_tests::{answered, at, call, execution},
    prelude::*,
};

/// Violations of a run in which the data centre of `s1` is evacuated from 1 s to 10 s, and a call that
/// is sent at `sent_at` milliseconds reaches `s1` 10 ms later and is answered with `status`.
fn violations_of(sent_at: u64, server: &str, status: u16) -> Vec<String> {
    let ledger = SoakLedger::default();
    ledger.evacuations.lock().unwrap().push(EvacuationPeriod {
        servers: vec![server.into()],
        from: at(1_000),
        until: at(10_000),
    });
    let calls = [CallRecord {
        sent_at: at(sent_at),
        ended_at: at(sent_at + 50),
        ..call("1", RequestKind::Lookup, answered(status))
    }];
    let executions = [ExecutionRecord {
        arrived_at: at(sent_at + 10),
        ..execution("1", "plain")
    }];
    evacuation_checker::check(&ledger, &calls, &executions)
}

#[test]
fn request_that_reaches_an_evacuated_server_late_is_reported() {
    assert_eq!(violations_of(5_980, "s1", 200), [""; 0]);
    assert_eq!(violations_of(6_100, "s1", 200).len(), 1);
    assert_eq!(violations_of(9_980, "s1", 200).len(), 1);
    assert_eq!(violations_of(9_990, "s1", 200), [""; 0], "taken back");
    assert_eq!(violations_of(6_100, "s2", 200), [""; 0], "elsewhere");
}

#[test]
fn requests_that_are_not_served_elsewhere_are_reported() {
    assert_eq!(violations_of(6_100, "s2", 503).len(), 1);
    assert_eq!(violations_of(5_900, "s2", 503), [""; 0]);
}
