//! Tests that servers without work after a fault are reported, and others are not.

use crate::{
    guarantee_checker_tests::{at, execution},
    order_checker,
    prelude::*,
    soak_routes,
};

/// Start of the final window, in milliseconds.
const FINAL_MS: u64 = 10_000;

/// Returns the number of violations where a server that was silenced last began a request at
/// `started_ms`.
fn violations(started_ms: u64) -> usize {
    let run = ExecutionRecord {
        started_at: Some(at(started_ms)),
        ..execution("last", soak_routes::KEYED_SERVICE)
    };
    let ledger = SoakLedger::default();
    let mut silenced = ledger.silenced_servers.lock().unwrap();
    silenced.insert(run.server.clone());
    drop(silenced);
    order_checker::check(&ledger, &[run], at(FINAL_MS)).len()
}

#[test]
fn server_without_a_request_in_the_final_window_is_reported() {
    assert_eq!(violations(FINAL_MS - 1), 1);
    assert_eq!(violations(FINAL_MS), 0);
}
