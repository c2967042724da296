//! Checks that requests are routed by a configuration that may be in force.
//!
//! Each observation is consistent with some revisions: a run at a probed service with those that route
//! the probe there, a run on a passing route with those that have the route, a 404 with those that do
//! not. Requests that another instance runs for the one that took them are judged like all others.

use crate::{prelude::*, soak_routes};
use std::collections::HashMap;

/// Time for which an instance may still route requests by an older revision after the effect of a
/// newer one was observed.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// Revisions and the times at which they were written to the store.
type WrittenRevisions = [(u64, MonoTime)];

/// Observation of the revision by which a request was routed.
struct RoutedCall<'a> {
    call: &'a CallRecord,
    /// Time of the arrival at a server, or of the answer that the route is missing.
    seen_at: MonoTime,
    /// Whether a server has seen it.
    is_run: bool,
    /// Revisions that are consistent with it, in order.
    revisions: Vec<u64>,
    /// Newest revision that must be in force.
    due: u64,
    is_undisturbed: bool,
    /// Whether its instance was undisturbed, the store aside.
    is_instance_undisturbed: bool,
}

/// Newest revision that an instance is known to have shown until a time, and the request.
type ShownRevision<'a> = (MonoTime, u64, &'a str);

/// CONFIG: a request is routed by a revision that is no longer in force, or by an older one than its
/// instance has shown before. Returns all violations.
pub(crate) fn check(
    ledger: &SoakLedger,
    calls: &[CallRecord],
    executions: &HashMap<&str, Vec<&ExecutionRecord>>,
) -> Vec<String> {
    let written = ledger.revisions.lock().unwrap().clone();
    let mut routed: IndexMap<(usize, u64), Vec<RoutedCall>> = IndexMap::new();
    for call in calls {
        let first = executions.get(call.id.as_str()).and_then(|all| all.first());
        if let Some(observed) = RoutedCall::of(ledger, &written, call, first.copied()) {
            let process = (call.instance, call.start_count);
            routed.entry(process).or_default().push(observed);
        }
    }
    let mut violations = Vec::new();
    for mut of_process in routed.into_values() {
        of_process.sort_by_key(|observed| observed.call.sent_at);
        let shown = shown_revisions(&of_process);
        for observed in &of_process {
            violations.extend(observed.late().map(|detail| observed.describe(&detail)));
            let back = observed.rolled_back(&shown);
            violations.extend(back.map(|detail| observed.describe(&detail)));
        }
    }
    violations
}

/// Newest revision that one process has certainly shown, by the time from which it had.
fn shown_revisions<'a>(of_process: &[RoutedCall<'a>]) -> Vec<ShownRevision<'a>> {
    let certain = of_process.iter().filter_map(|observed| {
        let revision = observed.certain_revision()?;
        Some((observed.seen_at, revision, observed.call.id.as_str()))
    });
    let mut shown: Vec<ShownRevision> = certain.collect();
    shown.sort_by_key(|(at, ..)| *at);
    let mut newest = 0;
    shown.retain(|(_, revision, _)| {
        let is_newer = *revision > newest;
        newest = newest.max(*revision);
        is_newer
    });
    shown
}

impl<'a> RoutedCall<'a> {
    /// Returns what a request shows; `None` if it shows nothing.
    fn of(
        ledger: &SoakLedger,
        written: &WrittenRevisions,
        call: &'a CallRecord,
        execution: Option<&ExecutionRecord>,
    ) -> Option<Self> {
        let is_missing = matches!(
            &call.outcome,
            CallOutcome::Answered(StatusCode::NOT_FOUND, _)
        );
        let seen_at = match execution {
            Some(execution) => execution.arrived_at,
            None if is_missing => call.ended_at,
            None => return None,
        };
        let is_consistent = |revision: u64| match (call.kind, execution) {
            (RequestKind::Probe, Some(execution)) => {
                soak_routes::probed_service(revision) == execution.service
            }
            (RequestKind::Passing(added), Some(_)) => soak_routes::has_passing(revision, added),
            (RequestKind::Passing(added), None) => !soak_routes::has_passing(revision, added),
            _ => false,
        };
        if !matches!(call.kind, RequestKind::Probe | RequestKind::Passing(_)) {
            return None;
        }
        let before = |bound: MonoTime| {
            let earlier = written.iter().filter(move |(_, at)| *at <= bound);
            earlier.map(|(revision, _)| *revision)
        };
        let mut revisions: Vec<u64> = before(seen_at)
            .filter(|known| is_consistent(*known))
            .collect();
        revisions.sort();
        let due = before(call.sent_at.before(SoakPlan::APPLY_TIME)).max();
        Some(Self {
            call,
            seen_at,
            is_run: execution.is_some(),
            revisions,
            due: due.unwrap_or_default(),
            is_undisturbed: ledger.is_undisturbed(call.instance, call.sent_at, call.ended_at),
            is_instance_undisturbed: ledger.is_instance_undisturbed(
                call.instance,
                call.sent_at,
                call.ended_at,
            ),
        })
    }

    /// Newest revision by which the request may have been routed.
    fn newest(&self) -> u64 {
        self.revisions.last().copied().unwrap_or_default()
    }

    /// Oldest revision by which the request may have been routed, if a server has seen it.
    fn certain_revision(&self) -> Option<u64> {
        let oldest_allowed = if self.is_undisturbed { self.due } else { 0 };
        let allowed = self
            .revisions
            .iter()
            .find(|known| **known >= oldest_allowed);
        let certain = allowed.or(self.revisions.last()).copied();
        certain.filter(|_| self.is_run)
    }

    fn late(&self) -> Option<String> {
        let (newest, due) = (self.newest(), self.due);
        (self.is_undisturbed && newest < due)
            .then(|| format!("routed by revision {newest}, but revision {due} must be in force"))
    }

    fn rolled_back(&self, shown: &[ShownRevision]) -> Option<String> {
        // Disturbances of the store excuse a late configuration, but not one that goes back.
        if !self.is_instance_undisturbed {
            return None;
        }
        let is_before = |(at, ..): &&ShownRevision| at.after(ROLLBACK_SLACK) < self.call.sent_at;
        let (at, revision, id) = shown.iter().take_while(is_before).last()?;
        let newest = self.newest();
        (newest < *revision).then(|| {
            let at = at.0 / 1_000;
            format!(
                "routed by revision {newest} after {id} had shown revision {revision} at {at} ms"
            )
        })
    }

    fn describe(&self, detail: &str) -> String {
        let call = self.call;
        format!(
            "CONFIG: {} {:?} at instance {}, sent at {} ms, seen at {} ms: {detail}",
            call.id,
            call.kind,
            call.instance,
            call.sent_at.0 / 1_000,
            self.seen_at.0 / 1_000
        )
    }
}
