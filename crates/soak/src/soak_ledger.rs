//! What callers and servers saw, and when what was disturbed.

use crate::prelude::*;

/// Records of one run.
#[derive(Default)]
pub(crate) struct SoakLedger {
    pub(crate) calls: Mutex<Vec<CallRecord>>,
    pub(crate) runs: Mutex<Vec<ExecutionRecord>>,
    /// Revisions of the configuration, and when the store took them.
    pub(crate) revisions: Mutex<Vec<(u64, MonoTime)>>,
    /// Broken promises that show at once.
    pub(crate) violations: Mutex<Vec<String>>,
    disturbances: Mutex<Vec<DisturbancePeriod>>,
    backends: Mutex<Vec<Arc<BackendProcess>>>,
    fences: Mutex<FenceHistory>,
}

/// What is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisturbanceTarget {
    /// An instance, its process or its link to the store, other than by planned work.
    Instance(usize),
    /// The store for all.
    Store,
    /// A server or its link.
    Servers,
    /// Planned work at an instance.
    Planned(usize),
}

struct DisturbancePeriod {
    what: DisturbanceTarget,
    from: MonoTime,
    until: MonoTime,
}

/// Highest fence of each key, and the backend that had it.
struct FenceHistory(Vec<(u64, Option<ServerIncarnation>)>);

impl Default for FenceHistory {
    fn default() -> Self {
        Self(vec![(0, None); 1 << 16])
    }
}

impl SoakLedger {
    /// Notes a disturbance of a known length.
    pub(crate) fn record_disturbance(&self, what: DisturbanceTarget, time: Duration) {
        let from = SteadyClock.now();
        self.record_disturbance_between(what, from, from.after(time));
    }

    /// Notes a disturbance between two times.
    pub(crate) fn record_disturbance_between(
        &self,
        what: DisturbanceTarget,
        from: MonoTime,
        until: MonoTime,
    ) {
        let disturbance = DisturbancePeriod { what, from, until };
        self.disturbances.lock().unwrap().push(disturbance);
    }

    /// Whether something was disturbed between two times.
    pub(crate) fn was_disturbed(
        &self,
        what: DisturbanceTarget,
        from: MonoTime,
        until: MonoTime,
    ) -> bool {
        let disturbances = self.disturbances.lock().unwrap();
        disturbances
            .iter()
            .any(|known| known.what == what && known.from <= until && known.until >= from)
    }

    /// Whether an instance and the store were undisturbed for long enough before `from` and until
    /// `until`, planned work apart.
    pub(crate) fn is_undisturbed(&self, instance: usize, from: MonoTime, until: MonoTime) -> bool {
        let since = from.before(SoakPlan::SETTLE_TIME);
        !self.was_disturbed(DisturbanceTarget::Instance(instance), since, until)
            && !self.was_disturbed(DisturbanceTarget::Store, since, until)
    }

    /// Whether a grant that arrives now may have been held up on its way.
    pub(crate) fn may_grant_be_delayed(&self, now: MonoTime) -> bool {
        let from = now.before(SoakPlan::DELAYED_GRANT_WINDOW);
        let disturbances = self.disturbances.lock().unwrap();
        let is_late = |known: &DisturbancePeriod| {
            let may_hold = !matches!(
                known.what,
                DisturbanceTarget::Store | DisturbanceTarget::Planned(_)
            );
            may_hold && from <= known.until && known.from <= now
        };
        disturbances.iter().any(is_late)
    }

    /// Adds a broken promise.
    pub(crate) fn add_violation(&self, rule: &str, what: &str) {
        let at = SteadyClock.now();
        let text = format!("{rule}: {what} (at {} ms)", at.0 / 1_000);
        self.violations.lock().unwrap().push(text);
    }

    /// Notes a request's arrival at a server.
    pub(crate) fn record_arrival(&self, run: ExecutionRecord) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    /// Notes that a run began.
    pub(crate) fn record_start(&self, run: usize) {
        self.runs.lock().unwrap()[run].started_at = Some(SteadyClock.now());
    }

    /// Notes how a run ended.
    pub(crate) fn record_end(&self, run: usize, outcome: ExecutionOutcome) {
        let mut runs = self.runs.lock().unwrap();
        runs[run].ended_at = Some(SteadyClock.now());
        runs[run].outcome = outcome;
    }

    /// Notes a caller's attempt.
    pub(crate) fn record_call(&self, call: CallRecord) {
        self.calls.lock().unwrap().push(call);
    }

    /// Notes the begin of a server's backend.
    pub(crate) fn add_backend(&self, backend: Arc<BackendProcess>) {
        self.backends.lock().unwrap().push(backend);
    }

    /// Notes the end of a server's backend.
    pub(crate) fn remove_backend(&self, incarnation: &ServerIncarnation) {
        self.backends
            .lock()
            .unwrap()
            .retain(|backend| backend.incarnation != *incarnation);
    }

    /// Checks a grant that a server took.
    pub(crate) fn check_grant(
        &self,
        incarnation: &ServerIncarnation,
        order: &KeyOrder,
        may_be_delayed: bool,
    ) {
        let mut stale = None;
        let mut fences = self.fences.lock().unwrap();
        for key in order.first..=order.last {
            let (highest, last) = &mut fences.0[usize::from(key)];
            let is_other = last.as_ref().is_some_and(|last| last != incarnation);
            if is_other && order.fence <= *highest {
                stale = Some((key, *highest, last.clone()));
            }
            if order.fence >= *highest {
                *highest = order.fence;
                *last = Some(incarnation.clone());
            }
        }
        drop(fences);
        if let (Some((key, highest, last)), false) = (stale, may_be_delayed) {
            let fence = order.fence;
            let what = format!(
                "{incarnation} took key {key} under fence {fence}, and {last:?} had it under {highest}"
            );
            self.add_violation("OWNER", &what);
        }
        if may_be_delayed {
            return;
        }
        let now = SteadyClock.now();
        for backend in self.other_backends(incarnation) {
            let keys = backend.keys.lock().unwrap();
            let busy = (order.first..=order.last).find(|key| {
                let state = keys.state(*key);
                state.running > 0 && now < state.valid_until && !state.may_be_delayed
            });
            if let Some(key) = busy {
                let other = &backend.incarnation;
                self.add_violation(
                    "OWNER",
                    &format!("{incarnation} was given key {key} while {other} was at work on it"),
                );
            }
        }
    }

    /// Checks that nobody else holds the key of a request that begins.
    pub(crate) fn check_key_use(
        &self,
        incarnation: &ServerIncarnation,
        key: u16,
        fence: u64,
        may_be_delayed: bool,
    ) {
        let now = SteadyClock.now();
        for backend in self.other_backends(incarnation) {
            let state = backend.keys.lock().unwrap().state(key);
            if now < state.valid_until && !state.may_be_delayed && !may_be_delayed {
                let (other, other_fence) = (&backend.incarnation, state.fence);
                let what = format!(
                    "{incarnation} began on key {key} under fence {fence}, and {other} holds it under {other_fence}"
                );
                self.add_violation("OWNER", &what);
            }
        }
    }

    fn other_backends(&self, incarnation: &ServerIncarnation) -> Vec<Arc<BackendProcess>> {
        let backends = self.backends.lock().unwrap();
        backends
            .iter()
            .filter(|backend| backend.incarnation != *incarnation)
            .cloned()
            .collect()
    }
}
