//! Checks that no requests reach the servers of evacuated data centres, and that others serve them.

use crate::prelude::*;
use std::collections::HashMap;

/// Ratio of the requests that must be served once the time of an evacuation is over.
const MIN_SERVED_RATIO: f64 = 0.9;

/// Time during which a data centre is evacuated, from the store's answer to the write to the call
/// that removes it.
#[derive(Clone, Debug)]
pub(crate) struct EvacuationPeriod {
    /// Identifiers of the servers there.
    pub(crate) servers: Vec<String>,
    pub(crate) from: MonoTime,
    pub(crate) until: MonoTime,
}

/// EVACUATE: a request begins at a server later than `EVACUATE_TIME` after its data centre was
/// evacuated. RECOVER: too few requests are served from then on. Returns all violations.
pub(crate) fn check(
    ledger: &SoakLedger,
    calls: &[CallRecord],
    executions: &[ExecutionRecord],
) -> Vec<String> {
    let calls_by_id: HashMap<&str, &CallRecord> =
        calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let periods = ledger.evacuations.lock().unwrap();
    let mut violations = Vec::new();
    for period in periods.iter() {
        let in_force = period.from.after(SoakPlan::EVACUATE_TIME)..period.until;
        let late = executions.iter().filter(|execution| {
            in_force.contains(&execution.arrived_at)
                && period.servers.contains(&execution.server.id)
        });
        violations.extend(late.map(|execution| {
            let elapsed = execution.arrived_at.since(period.from);
            let instance = calls_by_id.get(execution.id.as_str()).map(|call| call.instance);
            let (id, server) = (&execution.id, &execution.server);
            format!("EVACUATE: {id} reached {server} {elapsed:?} after the evacuation from instance {instance:?}")
        }));
        let is_due = |call: &&CallRecord| {
            // Each probed service has one server only.
            in_force.contains(&call.sent_at)
                && RequestKind::SENT_BY_CALLERS.contains(&call.kind)
                && call.is_first_attempt
                && call.outcome != CallOutcome::Abandoned
                && ledger.is_undisturbed(call.instance, call.sent_at, call.ended_at)
        };
        let due: Vec<&CallRecord> = calls.iter().filter(is_due).collect();
        let served = due.iter().filter(|call| call.is_served()).count();
        if (served as f64) < MIN_SERVED_RATIO * due.len() as f64 {
            let (all, from) = (due.len(), period.from.0 / 1_000);
            violations.push(format!(
                "RECOVER: {served} of {all} requests served during the evacuation at {from} ms"
            ));
        }
    }
    violations
}
