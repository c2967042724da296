//! Observations of callers and servers, and the times at which faults were active.

use crate::{
    evacuation_checker::EvacuationPeriod, key_recovery::KeyRecovery, notice_checker::ServerNotice,
    prelude::*, reach_checker::CutPeriod,
};

/// Records of one soak run.
#[derive(Default)]
pub(crate) struct SoakLedger {
    pub(crate) calls: Mutex<Vec<CallRecord>>,
    pub(crate) executions: Mutex<Vec<ExecutionRecord>>,
    /// Revisions of the configuration and the times at which they were written to the store.
    pub(crate) revisions: Mutex<Vec<(u64, MonoTime)>>,
    /// Violations that are detected as they occur.
    pub(crate) violations: Mutex<Vec<String>>,
    /// Limits that servers named.
    pub(crate) limits: Mutex<Vec<LimitPeriod>>,
    /// Times for which sampled keys were without a holder after a restore of the store.
    pub(crate) restore_times: Mutex<Vec<Duration>>,
    /// Crashes by poison requests, each with the number of the request.
    pub(crate) poison_crashes: Mutex<Vec<(usize, MonoTime)>>,
    /// Keys of crashed servers.
    pub(crate) recovery: Mutex<KeyRecovery>,
    /// Times during which instances were cut off from all servers.
    pub(crate) cut_periods: Mutex<Vec<CutPeriod>>,
    /// Times during which servers were cold.
    pub(crate) cold_periods: Mutex<Vec<ColdPeriod>>,
    /// Times during which servers with keys wanted no requests.
    pub(crate) rest_periods: Mutex<Vec<(MonoTime, MonoTime)>>,
    /// Servers with keys that left orders unanswered for some time.
    pub(crate) silenced_servers: Mutex<IndexSet<ServerIncarnation>>,
    /// Evacuations of data centres.
    pub(crate) evacuations: Mutex<Vec<EvacuationPeriod>>,
    disturbances: Mutex<Vec<DisturbancePeriod>>,
    backends: Mutex<Vec<Arc<BackendProcess>>>,
    fences: Mutex<FenceHistory>,
}

/// Time during which a server names a limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitPeriod {
    pub(crate) server: ServerIncarnation,
    /// Requests per second from all instances together.
    pub(crate) per_second: f64,
    pub(crate) from: MonoTime,
    pub(crate) until: MonoTime,
}

/// Component that a disturbance affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisturbanceTarget {
    /// Process of an instance or its link to the store, affected by anything but planned work.
    Instance(usize),
    /// Store, as seen by all instances.
    Store,
    /// Any server or its link.
    Servers,
    /// Instance that receives signals as planned work.
    PlannedWork(usize),
}

/// Time during which a component is disturbed.
struct DisturbancePeriod {
    target: DisturbanceTarget,
    from: MonoTime,
    until: MonoTime,
}

/// Highest fencing token granted for each key, and the server that accepted it.
struct FenceHistory(Vec<(u64, Option<ServerIncarnation>)>);

impl Default for FenceHistory {
    fn default() -> Self {
        Self(vec![(0, None); 1 << 16])
    }
}

impl SoakLedger {
    /// Records a disturbance that begins now.
    pub(crate) fn record_disturbance(&self, target: DisturbanceTarget, duration: Duration) {
        let from = SteadyClock.now();
        self.record_disturbance_between(target, from, from.after(duration));
    }

    /// Records a disturbance between two times.
    pub(crate) fn record_disturbance_between(
        &self,
        target: DisturbanceTarget,
        from: MonoTime,
        until: MonoTime,
    ) {
        let disturbance = DisturbancePeriod {
            target,
            from,
            until,
        };
        self.disturbances.lock().unwrap().push(disturbance);
    }

    /// Whether a component was disturbed at any time between `from` and `until`.
    pub(crate) fn was_disturbed(
        &self,
        target: DisturbanceTarget,
        from: MonoTime,
        until: MonoTime,
    ) -> bool {
        let disturbances = self.disturbances.lock().unwrap();
        disturbances
            .iter()
            .any(|known| known.target == target && known.from <= until && known.until >= from)
    }

    /// Whether an instance and the store were undisturbed, except by planned work, until `until`
    /// and from `SETTLE_TIME` before `from`.
    pub(crate) fn is_undisturbed(&self, instance: usize, from: MonoTime, until: MonoTime) -> bool {
        let since = from.before(SoakPlan::SETTLE_TIME);
        self.is_instance_undisturbed(instance, from, until)
            && !self.was_disturbed(DisturbanceTarget::Store, since, until)
    }

    /// The same, whatever happened to the store.
    pub(crate) fn is_instance_undisturbed(
        &self,
        instance: usize,
        from: MonoTime,
        until: MonoTime,
    ) -> bool {
        let since = from.before(SoakPlan::SETTLE_TIME);
        !self.was_disturbed(DisturbanceTarget::Instance(instance), since, until)
    }

    /// Whether a recent disturbance may have delayed a grant that arrives now.
    pub(crate) fn may_grant_be_delayed(&self, now: MonoTime) -> bool {
        let from = now.before(SoakPlan::DELAYED_GRANT_WINDOW);
        let disturbances = self.disturbances.lock().unwrap();
        let may_delay = |known: &DisturbancePeriod| {
            let affects_delivery = !matches!(
                known.target,
                DisturbanceTarget::Store | DisturbanceTarget::PlannedWork(_)
            );
            affects_delivery && from <= known.until && known.from <= now
        };
        disturbances.iter().any(may_delay)
    }

    /// Records the violation of a guarantee with the current time.
    pub(crate) fn add_violation(&self, rule: &str, detail: &str) {
        let at = SteadyClock.now();
        let text = format!("{rule}: {detail} (at {} ms)", at.0 / 1_000);
        self.violations.lock().unwrap().push(text);
    }

    /// Records the arrival of a request at a server; returns the index of the record.
    pub(crate) fn record_arrival(&self, execution: ExecutionRecord) -> usize {
        let mut executions = self.executions.lock().unwrap();
        executions.push(execution);
        executions.len() - 1
    }

    /// Records that a server began to execute a request.
    pub(crate) fn record_start(&self, execution: usize) {
        self.executions.lock().unwrap()[execution].started_at = Some(SteadyClock.now());
    }

    /// Records the outcome of a request at a server.
    pub(crate) fn record_end(&self, execution: usize, outcome: ExecutionOutcome) {
        let mut executions = self.executions.lock().unwrap();
        executions[execution].ended_at = Some(SteadyClock.now());
        executions[execution].outcome = outcome;
    }

    /// Records what the answer to a request says of the server.
    pub(crate) fn record_notice(&self, execution: usize, notice: ServerNotice) {
        self.executions.lock().unwrap()[execution].notice = Some(notice);
    }

    /// Records that the answer to a request names a limit.
    pub(crate) fn record_named_limit(&self, execution: usize) {
        self.executions.lock().unwrap()[execution].names_limit = true;
    }

    /// Records an attempt of a caller.
    pub(crate) fn record_call(&self, call: CallRecord) {
        self.calls.lock().unwrap().push(call);
    }

    /// Adds a server process whose grants are to be checked.
    pub(crate) fn add_backend(&self, backend: Arc<BackendProcess>) {
        self.backends.lock().unwrap().push(backend);
    }

    /// Removes a server process that has ended.
    pub(crate) fn remove_backend(&self, incarnation: &ServerIncarnation) {
        self.backends
            .lock()
            .unwrap()
            .retain(|backend| backend.incarnation != *incarnation);
    }

    /// Checks a grant that a server accepted: its fencing token must be higher than those of all
    /// other servers, and none of them may be executing a request for one of the keys. Grants that
    /// may be delayed are exempt, except for fences that an earlier incarnation of the same server had:
    /// no connection outlives its process.
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
        let is_exempt = |last: &Option<ServerIncarnation>| {
            let id = last.as_ref().map(|last| &last.id);
            may_be_delayed && id != Some(&incarnation.id)
        };
        if let Some((key, highest, last)) = stale.filter(|(_, _, last)| !is_exempt(last)) {
            let fence = order.fence;
            let detail = format!(
                "{incarnation} accepted key {key} with fence {fence}, but {last:?} had accepted it with fence {highest}"
            );
            self.add_violation("OWNER", &detail);
        }
        if may_be_delayed {
            return;
        }
        let now = SteadyClock.now();
        for backend in self.other_backends(incarnation) {
            let keys = backend.keys.lock().unwrap();
            let busy = (order.first..=order.last).find(|key| {
                let state = keys.state(*key);
                state.running > 0 && now < state.granted_until && !state.may_be_delayed
            });
            if let Some(key) = busy {
                let other = &backend.incarnation;
                self.add_violation(
                    "OWNER",
                    &format!("{incarnation} was granted key {key} while {other} was using it"),
                );
            }
        }
    }

    /// Checks that no other server holds the key of a request that a server begins to execute.
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
                let detail = format!(
                    "{incarnation} began a request for key {key} with fence {fence} while {other} held it with fence {other_fence}"
                );
                self.add_violation("OWNER", &detail);
            }
        }
    }

    /// Whether any server holds each of some keys now.
    pub(crate) fn are_held(&self, keys: &[u16]) -> Vec<bool> {
        let now = SteadyClock.now();
        let mut are_held = vec![false; keys.len()];
        for backend in self.backends.lock().unwrap().iter() {
            let granted = backend.keys.lock().unwrap();
            for (is_held, key) in are_held.iter_mut().zip(keys) {
                *is_held |= granted.valid_fence(*key, now).is_some();
            }
        }
        are_held
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
