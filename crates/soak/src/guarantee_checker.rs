//! What callers and servers saw, held against the promises of the users' pages.

use crate::{prelude::*, soak_routes};
use std::collections::HashMap;

/// Records of one run, by request.
struct GuaranteeChecker<'a> {
    ledger: &'a SoakLedger,
    calls: &'a [CallRecord],
    /// Arrivals at servers by identifier.
    runs: HashMap<&'a str, Vec<&'a ExecutionRecord>>,
    violations: Vec<String>,
}

/// Broken promises of a run; `final_window_start` begins the time in which all must be served again.
pub(crate) fn check(ledger: &SoakLedger, final_window_start: MonoTime) -> Vec<String> {
    let calls = ledger.calls.lock().unwrap();
    let all_runs = ledger.runs.lock().unwrap();
    let mut runs: HashMap<&str, Vec<&ExecutionRecord>> = HashMap::new();
    for run in all_runs.iter() {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut checker = GuaranteeChecker {
        ledger,
        calls: &calls,
        runs,
        violations: ledger.violations.lock().unwrap().clone(),
    };
    checker.check_answers();
    checker.check_executions();
    checker.check_lost_requests();
    checker.check_wait_times();
    checker.check_drain();
    checker.check_configuration();
    checker.check_recovery(final_window_start);
    checker.violations
}

impl GuaranteeChecker<'_> {
    fn executions_of(&self, id: &str) -> &[&ExecutionRecord] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
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

    /// MIXED, DENIED and REFUSED.
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
            if is_denied {
                self.add_violation("DENIED", call, &status.to_string());
            }
            let has_run = self
                .executions_of(&call.id)
                .iter()
                .any(|run| run.started_at.is_some());
            if call.is_reported_not_run() && has_run && !call.kind.is_idempotent() {
                self.add_violation("REFUSED", call, "refused, and it has run");
            }
        }
    }

    /// TWICE, UNASKED and BUDGET.
    fn check_executions(&mut self) {
        for call in self.calls {
            let runs = self.executions_of(&call.id);
            let begun = runs.iter().filter(|run| run.started_at.is_some()).count();
            let max_allowed = call.timeout + Duration::from_millis(500);
            let exceeds_timeout =
                |run: &&&ExecutionRecord| run.allowed_time.is_none_or(|given| given > max_allowed);
            let longer = runs.iter().filter(exceeds_timeout).count();
            let servers = runs.len();
            if begun > 1 && !call.kind.is_idempotent() {
                self.add_violation("TWICE", call, "it ran more than once");
            }
            if servers > soak_routes::MAX_ATTEMPTS as usize {
                self.add_violation("BUDGET", call, &format!("it reached {servers} servers"));
            }
            if longer > 0 {
                self.add_violation("BUDGET", call, "a server was given more time than is left");
            }
        }
        let sent: std::collections::HashSet<&str> =
            self.calls.iter().map(|call| call.id.as_str()).collect();
        let unsent: Vec<String> = self
            .runs
            .keys()
            .filter(|id| !sent.contains(*id))
            .map(|id| format!("UNASKED: {id}, which no caller sent, reached a server"))
            .collect();
        self.violations.extend(unsent);
    }

    /// LOST: a connection that ends at a calm instance under a request that was passed on, or under
    /// one that was sent a while before, around planned work.
    fn check_lost_requests(&mut self) {
        for call in self.calls {
            let (cause, was_sent) = match &call.outcome {
                CallOutcome::Closed(cause) => (cause, true),
                CallOutcome::Unsent(cause) => (cause, false),
                _ => continue,
            };
            let instance = call.instance;
            if !self
                .ledger
                .is_undisturbed(instance, call.sent_at, call.ended_at)
            {
                continue;
            }
            let waited = call.ended_at.since(call.sent_at);
            let planned = DisturbanceTarget::Planned(instance);
            let is_planned = self
                .ledger
                .was_disturbed(planned, call.sent_at, call.ended_at);
            if !self.executions_of(&call.id).is_empty() {
                self.add_violation("LOST", call, cause);
            } else if was_sent && is_planned && waited > SoakPlan::LOSS_SLACK {
                let detail = format!("cut unanswered {waited:?} after it was sent: {cause}");
                self.add_violation("LOST", call, &detail);
            }
        }
    }

    /// CONFIG: callers that are kept waiting beyond the route's time.
    fn check_wait_times(&mut self) {
        let limit = soak_routes::ROUTE_TIMEOUT + Duration::from_millis(500);
        for call in self.calls {
            let waited = call.ended_at.since(call.sent_at);
            let is_undisturbed =
                self.ledger
                    .is_undisturbed(call.instance, call.sent_at, call.ended_at);
            if is_undisturbed && waited > limit && call.outcome != CallOutcome::Abandoned {
                self.add_violation("CONFIG", call, &format!("kept waiting for {waited:?}"));
            }
        }
    }

    /// DRAIN: requests that reach a server after its notice has run out.
    fn check_drain(&mut self) {
        for call in self.calls {
            let is_undisturbed =
                self.ledger
                    .is_undisturbed(call.instance, call.sent_at, call.ended_at);
            let late = self.executions_of(&call.id).iter().find_map(|run| {
                let spent = run.arrived_at.since(run.draining_since?);
                (spent > SoakPlan::DRAIN_TIME).then(|| (run.server.clone(), spent))
            });
            if let (true, Some((server, spent))) = (is_undisturbed, late) {
                let detail = format!("{server} got it {spent:?} after it began to drain");
                self.add_violation("DRAIN", call, &detail);
            }
        }
    }

    /// CONFIG: the probed route in force, and never back.
    fn check_configuration(&mut self) {
        /// Time in which an instance may still answer as an older revision has it, once its effect
        /// was seen.
        const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
        let revisions = self.ledger.revisions.lock().unwrap().clone();
        // Effects by instance and start: revision, and when it was seen first.
        let mut seen: HashMap<(usize, u64), (u64, MonoTime)> = HashMap::new();
        let mut probes: Vec<&CallRecord> = self
            .calls
            .iter()
            .filter(|call| call.kind == RequestKind::Probe)
            .collect();
        probes.sort_by_key(|call| call.sent_at);
        for call in probes {
            let first = self.executions_of(&call.id).first();
            let Some((service, arrived_at)) = first.map(|run| (run.service, run.arrived_at)) else {
                continue;
            };
            // The newest revision that the service can stand for at the run's time.
            let matching = revisions
                .iter()
                .filter(|(revision, at)| {
                    soak_routes::probed_service(*revision) == service && *at <= arrived_at
                })
                .map(|(revision, _)| *revision)
                .max()
                .unwrap_or_default();
            let due = revisions
                .iter()
                .filter(|(_, at)| at.after(SoakPlan::APPLY_TIME) < call.sent_at)
                .map(|(revision, _)| *revision)
                .max()
                .unwrap_or_default();
            let is_undisturbed =
                self.ledger
                    .is_undisturbed(call.instance, call.sent_at, call.ended_at);
            if matching < due && is_undisturbed {
                let detail = format!("handled as revision {matching} has it, {due} was due");
                self.add_violation("CONFIG", call, &detail);
            }
            let entry = seen
                .entry((call.instance, call.start_count))
                .or_insert((matching, arrived_at));
            let is_back = matching < entry.0 && call.sent_at > entry.1.after(ROLLBACK_SLACK);
            let known = entry.0;
            if matching > entry.0 {
                *entry = (matching, arrived_at);
            }
            if is_back && is_undisturbed {
                let detail = format!("back to revision {matching} after {known}");
                self.add_violation("CONFIG", call, &detail);
            }
        }
    }

    /// RECOVER: all that is sent at the end is served.
    fn check_recovery(&mut self, final_window_start: MonoTime) {
        /// Share of the requests that must be served once all faults are over; the users' pages
        /// ask for a quarter.
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
                    "RECOVER: {served} of {all} {kind:?} served at the end; one of the others: {other:?}"
                ));
            }
        }
    }
}
