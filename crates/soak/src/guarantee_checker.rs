//! Checks the observations of callers and servers against the documented guarantees.

use crate::{
    cold_checker, configuration_checker, evacuation_checker, limit_checker, notice_checker,
    order_checker, poison_checker, prelude::*, reach_checker, soak_routes,
};
use std::collections::HashMap;

/// Checker for the records of one soak run.
struct GuaranteeChecker<'a> {
    ledger: &'a SoakLedger,
    calls: &'a [CallRecord],
    /// Arrivals at servers, by request identifier.
    executions: HashMap<&'a str, Vec<&'a ExecutionRecord>>,
    violations: Vec<String>,
}

/// Returns all violations of a run. Requests sent after `final_window_start` must be served again.
pub(crate) fn check(ledger: &SoakLedger, final_window_start: MonoTime) -> Vec<String> {
    let calls = ledger.calls.lock().unwrap();
    let all_executions = ledger.executions.lock().unwrap();
    let mut executions: HashMap<&str, Vec<&ExecutionRecord>> = HashMap::new();
    for execution in all_executions.iter() {
        executions.entry(&execution.id).or_default().push(execution);
    }
    let mut checker = GuaranteeChecker {
        ledger,
        calls: &calls,
        executions,
        violations: ledger.violations.lock().unwrap().clone(),
    };
    checker.check_answers();
    checker.check_executions();
    checker.check_lost_requests();
    checker.check_wait_times();
    checker.check_drain();
    checker.check_recovery(final_window_start);
    for violations in [
        cold_checker::check(ledger, &all_executions),
        limit_checker::check(ledger, &calls, &all_executions),
        poison_checker::check(ledger, &calls, &all_executions),
        notice_checker::check(ledger, &calls, &all_executions),
        evacuation_checker::check(ledger, &calls, &all_executions),
        order_checker::check(ledger, &all_executions, final_window_start),
        reach_checker::check(ledger, &calls),
        configuration_checker::check(ledger, &calls, &checker.executions),
    ] {
        checker.violations.extend(violations);
    }
    checker.violations
}

impl GuaranteeChecker<'_> {
    fn executions_of(&self, id: &str) -> &[&ExecutionRecord] {
        self.executions.get(id).map_or(&[], Vec::as_slice)
    }

    fn add_violation(&mut self, rule: &str, call: &CallRecord, detail: &str) {
        let text = format!(
            "{rule}: {} {:?} at instance {}, sent at {} ms: {detail}",
            call.id,
            call.kind,
            call.instance,
            call.sent_at.0 / 1_000
        );
        self.violations.push(text);
    }

    /// MIXED: an answer is invalid or belongs to another request. DENIED: a valid request is
    /// rejected as invalid or redirected. REFUSED: an order that was reported as not executed was
    /// executed.
    fn check_answers(&mut self) {
        for call in self.calls {
            let CallOutcome::Answered(status, fault) = &call.outcome else {
                continue;
            };
            if let Some(fault) = fault {
                self.add_violation("MIXED", call, fault);
            }
            let is_denied = status.is_redirection()
                || status.is_client_error() && !matches!(status.as_u16(), 408 | 421 | 429);
            // Whether a passing route may be missing is judged with the configurations.
            let may_be_missing =
                matches!(call.kind, RequestKind::Passing(_)) && *status == StatusCode::NOT_FOUND;
            if is_denied && !may_be_missing {
                self.add_violation("DENIED", call, &status.to_string());
            }
            let was_executed = self
                .executions_of(&call.id)
                .iter()
                .any(|execution| execution.started_at.is_some());
            if call.is_reported_not_run() && was_executed && !call.kind.is_idempotent() {
                self.add_violation("REFUSED", call, "refused, but it was executed");
            }
        }
    }

    /// ROUTE: a request reaches a service to which no configuration sends it. TWICE: an order is
    /// executed more than once. BUDGET: a request is sent to too many servers,
    /// or allows a server more time than its caller waits. UNASKED: a server receives a request
    /// that no caller sent.
    fn check_executions(&mut self) {
        for call in self.calls {
            let executions = self.executions_of(&call.id);
            let executed_count = executions
                .iter()
                .filter(|execution| execution.started_at.is_some())
                .count();
            let max_allowed = call.timeout + Duration::from_millis(500);
            let exceeds_timeout = |execution: &&&ExecutionRecord| {
                execution
                    .allowed_time
                    .is_none_or(|given| given > max_allowed)
            };
            let too_long = executions.iter().filter(exceeds_timeout).count();
            let servers = executions.len();
            let is_allowed = |execution: &&&ExecutionRecord| {
                soak_routes::services(call.kind).contains(&execution.service)
            };
            if let Some(stray) = executions.iter().find(|known| !is_allowed(known)) {
                self.add_violation("ROUTE", call, &format!("run by {}", stray.server));
            }
            if executed_count > 1 && !call.kind.is_idempotent() {
                self.add_violation("TWICE", call, "executed more than once");
            }
            if servers > soak_routes::MAX_ATTEMPTS as usize {
                self.add_violation("BUDGET", call, &format!("sent to {servers} servers"));
            }
            if too_long > 0 {
                self.add_violation(
                    "BUDGET",
                    call,
                    "a server was allowed more time than the caller waits",
                );
            }
        }
        let sent_ids: std::collections::HashSet<&str> =
            self.calls.iter().map(|call| call.id.as_str()).collect();
        let unasked: Vec<String> = self
            .executions
            .keys()
            .filter(|id| !sent_ids.contains(*id))
            .map(|id| format!("UNASKED: {id} reached a server, but no caller sent it"))
            .collect();
        self.violations.extend(unasked);
    }

    /// LOST: an undisturbed instance closes the connection of a request without an answer, although
    /// the request was forwarded to a server, or was sent `LOSS_SLACK` before during planned work.
    fn check_lost_requests(&mut self) {
        for call in self.calls {
            let (cause, was_sent) = match &call.outcome {
                CallOutcome::Closed(cause) => (cause, true),
                CallOutcome::Unsent(cause) => (cause, false),
                _ => continue,
            };
            let instance = call.instance;
            // Requests without a key need no store.
            let is_judged = match call.kind.is_keyed() {
                true => self
                    .ledger
                    .is_undisturbed(instance, call.sent_at, call.ended_at),
                false => self
                    .ledger
                    .is_instance_undisturbed(instance, call.sent_at, call.ended_at),
            };
            if !is_judged {
                continue;
            }
            let waited = call.ended_at.since(call.sent_at);
            let planned = DisturbanceTarget::PlannedWork(instance);
            let is_planned = self
                .ledger
                .was_disturbed(planned, call.sent_at, call.ended_at);
            if !self.executions_of(&call.id).is_empty() {
                self.add_violation("LOST", call, cause);
            } else if was_sent && is_planned && waited > SoakPlan::LOSS_SLACK {
                let detail = format!(
                    "connection closed without an answer {waited:?} after the request was sent: {cause}"
                );
                self.add_violation("LOST", call, &detail);
            }
        }
    }

    /// CONFIG: a caller waits longer than the timeout of the route.
    fn check_wait_times(&mut self) {
        let limit = soak_routes::ROUTE_TIMEOUT + Duration::from_millis(500);
        for call in self.calls {
            let waited = call.ended_at.since(call.sent_at);
            let is_undisturbed =
                self.ledger
                    .is_undisturbed(call.instance, call.sent_at, call.ended_at);
            if is_undisturbed && waited > limit && call.outcome != CallOutcome::Abandoned {
                self.add_violation("CONFIG", call, &format!("the caller waited {waited:?}"));
            }
        }
    }

    /// DRAIN: a server receives a request more than `DRAIN_TIME` after the store was told that it
    /// drains or is gone, unless a cut of the instance's own link has held the request back.
    fn check_drain(&mut self) {
        let cuts = self.ledger.cut_periods.lock().unwrap().clone();
        for call in self.calls {
            let is_undisturbed =
                self.ledger
                    .is_undisturbed(call.instance, call.sent_at, call.ended_at);
            let was_held_back = |execution: &ExecutionRecord| {
                cuts.iter().any(|cut| {
                    cut.instances.contains(&call.instance)
                        && (call.sent_at..=execution.arrived_at).contains(&cut.until)
                })
            };
            let late = self.executions_of(&call.id).iter().find_map(|execution| {
                let elapsed = execution.arrived_at.since(execution.leaving_since?);
                (elapsed > SoakPlan::DRAIN_TIME && !was_held_back(execution))
                    .then(|| (execution.server.clone(), elapsed))
            });
            if let (true, Some((server, elapsed))) = (is_undisturbed, late) {
                let detail = format!(
                    "{server} received the request {elapsed:?} after the store was told that it leaves"
                );
                self.add_violation("DRAIN", call, &detail);
            }
        }
    }

    /// RECOVER: too few of the requests in the final window are served.
    fn check_recovery(&mut self, final_window_start: MonoTime) {
        /// Ratio of requests that must be served after all faults have ended. This is stricter than
        /// the documented ratio of 0.25.
        const MIN_SERVED_RATIO: f64 = 0.9;
        for kind in RequestKind::SENT_BY_CALLERS {
            let last: Vec<&CallRecord> = self
                .calls
                .iter()
                .filter(|call| call.kind == kind && call.sent_at >= final_window_start)
                .filter(|call| call.outcome != CallOutcome::Abandoned)
                .collect();
            let served = last.iter().filter(|call| call.is_served()).count();
            if (served as f64) < MIN_SERVED_RATIO * last.len() as f64 || last.is_empty() {
                let all = last.len();
                let other = last.iter().find(|call| !call.is_served());
                self.violations.push(format!(
                    "RECOVER: {served} of {all} {kind:?} requests served after the faults; first unserved: {other:?}"
                ));
            }
        }
    }
}
