//! What callers and servers saw, held against the promises of the users' pages.

use crate::{prelude::*, soak_routes};
use std::collections::HashMap;

/// Records of one run, by request.
struct GuaranteeChecker<'a> {
    ledger: &'a SoakLedger,
    calls: &'a [CallRecord],
    /// Arrivals at servers by identifier.
    runs: HashMap<&'a str, Vec<&'a ExecutionRecord>>,
    faults: Vec<String>,
}

/// Broken promises of a run; `last_from` begins the time in which all must be served again.
pub(crate) fn check(ledger: &SoakLedger, last_from: MonoTime) -> Vec<String> {
    let calls = ledger.calls.lock().unwrap();
    let all_runs = ledger.runs.lock().unwrap();
    let mut runs: HashMap<&str, Vec<&ExecutionRecord>> = HashMap::new();
    for run in all_runs.iter() {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut checked = GuaranteeChecker {
        ledger,
        calls: &calls,
        runs,
        faults: ledger.faults.lock().unwrap().clone(),
    };
    checked.check_answers();
    checked.check_runs();
    checked.check_lost();
    checked.check_late();
    checked.check_drain();
    checked.check_configuration();
    checked.check_recovery(last_from);
    checked.faults
}

impl GuaranteeChecker<'_> {
    fn runs_of(&self, id: &str) -> &[&ExecutionRecord] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    fn broke(&mut self, rule: &str, call: &CallRecord, what: &str) {
        let text = format!(
            "{rule}: {} {:?} at instance {}, sent at {} ms: {what}",
            call.id,
            call.kind,
            call.instance,
            call.sent.0 / 1_000
        );
        self.faults.push(text);
    }

    /// MIXED, DENIED and REFUSED.
    fn check_answers(&mut self) {
        for call in self.calls {
            let CallOutcome::Answered(status, fault) = &call.end else {
                continue;
            };
            if let Some(fault) = fault {
                self.broke("MIXED", call, fault);
            }
            let is_denied = status.is_redirection()
                || status.is_client_error() && !matches!(status.as_u16(), 408 | 421 | 429);
            if is_denied {
                self.broke("DENIED", call, &status.to_string());
            }
            let has_run = self.runs_of(&call.id).iter().any(|run| run.began.is_some());
            if call.is_promised_not_run() && has_run && !call.kind.is_idempotent() {
                self.broke("REFUSED", call, "refused, and it has run");
            }
        }
    }

    /// TWICE, UNASKED and BUDGET.
    fn check_runs(&mut self) {
        for call in self.calls {
            let runs = self.runs_of(&call.id);
            let begun = runs.iter().filter(|run| run.began.is_some()).count();
            let patience = call.patience + Duration::from_millis(500);
            let is_longer =
                |run: &&&ExecutionRecord| run.patience.is_none_or(|given| given > patience);
            let longer = runs.iter().filter(is_longer).count();
            let servers = runs.len();
            if begun > 1 && !call.kind.is_idempotent() {
                self.broke("TWICE", call, "it ran more than once");
            }
            if servers > soak_routes::MAX_ATTEMPTS as usize {
                self.broke("BUDGET", call, &format!("it reached {servers} servers"));
            }
            if longer > 0 {
                self.broke("BUDGET", call, "a server was given more time than is left");
            }
        }
        let sent: std::collections::HashSet<&str> =
            self.calls.iter().map(|call| call.id.as_str()).collect();
        let unasked: Vec<String> = self
            .runs
            .keys()
            .filter(|id| !sent.contains(*id))
            .map(|id| format!("UNASKED: {id}, which no caller sent, reached a server"))
            .collect();
        self.faults.extend(unasked);
    }

    /// LOST: a connection that ends at a calm instance under a request that was passed on, or under
    /// one that was sent a while before, around planned work.
    fn check_lost(&mut self) {
        for call in self.calls {
            let (cause, was_sent) = match &call.end {
                CallOutcome::Closed(cause) => (cause, true),
                CallOutcome::Unsent(cause) => (cause, false),
                _ => continue,
            };
            let instance = call.instance;
            if !self.ledger.is_in_touch(instance, call.sent, call.ended) {
                continue;
            }
            let waited = call.ended.since(call.sent);
            let planned = DisturbanceTarget::Planned(instance);
            let is_planned = self.ledger.was_disturbed(planned, call.sent, call.ended);
            if !self.runs_of(&call.id).is_empty() {
                self.broke("LOST", call, cause);
            } else if was_sent && is_planned && waited > SoakPlan::LOSS_SLACK {
                let what = format!("cut unanswered {waited:?} after it was sent: {cause}");
                self.broke("LOST", call, &what);
            }
        }
    }

    /// CONFIG: callers that are kept waiting beyond the route's time.
    fn check_late(&mut self) {
        let limit = soak_routes::TIMEOUT + Duration::from_millis(500);
        for call in self.calls {
            let waited = call.ended.since(call.sent);
            let is_calm = self
                .ledger
                .is_in_touch(call.instance, call.sent, call.ended);
            if is_calm && waited > limit && call.end != CallOutcome::Abandoned {
                self.broke("CONFIG", call, &format!("kept waiting for {waited:?}"));
            }
        }
    }

    /// DRAIN: requests that reach a server after its notice has run out.
    fn check_drain(&mut self) {
        for call in self.calls {
            let is_calm = self
                .ledger
                .is_in_touch(call.instance, call.sent, call.ended);
            let late = self.runs_of(&call.id).iter().find_map(|run| {
                let spent = run.arrived.since(run.leaving_since?);
                (spent > SoakPlan::DRAIN_TIME).then(|| (run.server.clone(), spent))
            });
            if let (true, Some((server, spent))) = (is_calm, late) {
                let what = format!("{server} got it {spent:?} after it began to leave");
                self.broke("DRAIN", call, &what);
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
        probes.sort_by_key(|call| call.sent);
        for call in probes {
            let first = self.runs_of(&call.id).first();
            let Some((service, arrived)) = first.map(|run| (run.service, run.arrived)) else {
                continue;
            };
            // The newest revision that the service can stand for at the run's time.
            let matching = revisions
                .iter()
                .filter(|(revision, at)| {
                    soak_routes::probed(*revision) == service && *at <= arrived
                })
                .map(|(revision, _)| *revision)
                .max()
                .unwrap_or_default();
            let due = revisions
                .iter()
                .filter(|(_, at)| at.after(SoakPlan::APPLY_TIME) < call.sent)
                .map(|(revision, _)| *revision)
                .max()
                .unwrap_or_default();
            let is_calm = self
                .ledger
                .is_in_touch(call.instance, call.sent, call.ended);
            if matching < due && is_calm {
                let what = format!("handled as revision {matching} has it, {due} was due");
                self.broke("CONFIG", call, &what);
            }
            let entry = seen
                .entry((call.instance, call.start))
                .or_insert((matching, arrived));
            let is_back = matching < entry.0 && call.sent > entry.1.after(ROLLBACK_SLACK);
            let known = entry.0;
            if matching > entry.0 {
                *entry = (matching, arrived);
            }
            if is_back && is_calm {
                let what = format!("back to revision {matching} after {known}");
                self.broke("CONFIG", call, &what);
            }
        }
    }

    /// RECOVER: all that is sent at the end is served.
    fn check_recovery(&mut self, last_from: MonoTime) {
        /// Share of the requests that must be served once all faults are over; the users' pages
        /// ask for a quarter.
        const LEAST_SHARE: f64 = 0.9;
        for kind in RequestKind::CALLED {
            let last: Vec<&CallRecord> = self
                .calls
                .iter()
                .filter(|call| call.kind == kind && call.sent >= last_from)
                .filter(|call| call.end != CallOutcome::Abandoned)
                .collect();
            let served = last.iter().filter(|call| call.is_served()).count();
            if (served as f64) < LEAST_SHARE * last.len() as f64 || last.is_empty() {
                let all = last.len();
                let other = last.iter().find(|call| !call.is_served());
                self.faults.push(format!(
                    "RECOVER: {served} of {all} {kind:?} served at the end; one of the others: {other:?}"
                ));
            }
        }
    }
}
