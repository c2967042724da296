//! Checks that servers are sent no more requests than the limits that they name allow.

use crate::prelude::*;
use std::collections::HashMap;

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which an instance that passed on an answer with a limit must heed it.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Requests in a window that are allowed, as a multiple of what the limit gives.
const ALLOWED_RATIO: f64 = 1.5;
/// Requests in a window that are allowed beyond `ALLOWED_RATIO`.
const ALLOWED_EXCESS: f64 = 5.0;

/// LIMIT: a server gets more requests than its limit allows from undisturbed instances that had
/// passed on an answer with the limit, in a window that ends `SETTLE_TIME` after the first such
/// answer or later. Returns all violations.
pub(crate) fn check(
    ledger: &SoakLedger,
    calls: &[CallRecord],
    executions: &[ExecutionRecord],
) -> Vec<String> {
    let calls: HashMap<&str, &CallRecord> =
        calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let limits = ledger.limits.lock().unwrap();
    limits
        .iter()
        .filter_map(|limit| check_limit(ledger, &calls, executions, limit))
        .collect()
}

/// Returns the worst violation of one limit.
fn check_limit(
    ledger: &SoakLedger,
    calls: &HashMap<&str, &CallRecord>,
    executions: &[ExecutionRecord],
    limit: &LimitPeriod,
) -> Option<String> {
    let at_server: Vec<&ExecutionRecord> = executions
        .iter()
        .filter(|execution| {
            execution.server == limit.server
                && (limit.from..=limit.until).contains(&execution.arrived_at)
        })
        .collect();
    // Time of the first answer with the limit that an instance passed on, by instance.
    let mut told: HashMap<(usize, u64), MonoTime> = HashMap::new();
    for execution in at_server.iter().filter(|execution| execution.names_limit) {
        let Some(call) = calls.get(execution.id.as_str()) else {
            continue;
        };
        if matches!(call.outcome, CallOutcome::Answered(..)) {
            let at = told
                .entry((call.instance, call.start_count))
                .or_insert(call.ended_at);
            *at = call.ended_at.min(*at);
        }
    }
    let first_named = *told.values().min()?;
    let is_counted = |execution: &&&ExecutionRecord| {
        let Some(call) = calls.get(execution.id.as_str()) else {
            return false;
        };
        let planned = DisturbanceTarget::PlannedWork(call.instance);
        let since = execution.arrived_at.before(WINDOW + SoakPlan::SETTLE_TIME);
        told.get(&(call.instance, call.start_count))
            .is_some_and(|at| at.after(NOTICE_TIME) <= execution.arrived_at)
            && ledger.is_undisturbed(call.instance, since, execution.arrived_at)
            && !ledger.was_disturbed(planned, since, execution.arrived_at)
    };
    let mut arrivals: Vec<MonoTime> = at_server
        .iter()
        .filter(is_counted)
        .map(|execution| execution.arrived_at)
        .collect();
    arrivals.sort();
    let allowed = ALLOWED_RATIO * limit.per_second * WINDOW.as_secs_f64() + ALLOWED_EXCESS;
    let due_from = first_named.after(SoakPlan::SETTLE_TIME);
    let (most, until) = arrivals
        .iter()
        .enumerate()
        .filter(|(_, last)| **last >= due_from)
        .map(|(position, last)| {
            let window = &arrivals[..=position];
            let start = window.partition_point(|at| last.since(*at) > WINDOW);
            (position + 1 - start, *last)
        })
        .max()?;
    (most as f64 > allowed).then(|| {
        format!(
            "LIMIT: {} with a limit of {} a second got {most} requests in {WINDOW:?} until {} ms, {allowed} allowed",
            limit.server,
            limit.per_second,
            until.0 / 1_000,
        )
    })
}
