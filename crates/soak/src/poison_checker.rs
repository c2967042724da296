//! Checks that a request that crashes servers is not sent to further servers.

use crate::prelude::*;
use std::collections::HashMap;

/// Crashes after which the instances must hold a request back.
const MAX_CRASHES: usize = 3;
/// Arrivals that are allowed after that, over the whole run.
const MAX_LATER_ARRIVALS: usize = 3;

/// BUDGET: a request that has crashed `MAX_CRASHES` servers reaches servers more than
/// `MAX_LATER_ARRIVALS` times, sent by undisturbed instances later than `SETTLE_TIME` after the
/// last of these crashes. Returns all violations.
pub(crate) fn check(
    ledger: &SoakLedger,
    calls: &[CallRecord],
    executions: &[ExecutionRecord],
) -> Vec<String> {
    let calls: HashMap<&str, &CallRecord> =
        calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let mut crashes: IndexMap<usize, Vec<MonoTime>> = IndexMap::new();
    for (number, at) in ledger.poison_crashes.lock().unwrap().iter() {
        crashes.entry(*number).or_default().push(*at);
    }
    let mut violations = Vec::new();
    for (number, crashes) in crashes {
        let Some(last_allowed) = crashes.get(MAX_CRASHES - 1) else {
            continue;
        };
        let bound = last_allowed.after(SoakPlan::SETTLE_TIME);
        let is_counted = |execution: &&ExecutionRecord| {
            let instance = calls.get(execution.id.as_str()).map(|call| call.instance);
            execution.poison == Some(number)
                && execution.arrived_at > bound
                && instance.is_some_and(|instance| {
                    let at = execution.arrived_at;
                    !ledger.was_disturbed(
                        DisturbanceTarget::Instance(instance),
                        at.before(SoakPlan::SETTLE_TIME),
                        at,
                    )
                })
        };
        let later = executions.iter().filter(is_counted).count();
        if later > MAX_LATER_ARRIVALS {
            violations.push(format!(
                "BUDGET: poison request {number} reached servers {later} times more after it had crashed {MAX_CRASHES}; it crashed {} in all",
                crashes.len()
            ));
        }
    }
    violations
}
