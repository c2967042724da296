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
    pub(crate) faults: Mutex<Vec<String>>,
    disturbances: Mutex<Vec<DisturbancePeriod>>,
    lives: Mutex<Vec<Arc<BackendProcess>>>,
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

/// Highest fence of each key, and the life that had it.
struct FenceHistory(Vec<(u64, Option<ServerIncarnation>)>);

impl Default for FenceHistory {
    fn default() -> Self {
        Self(vec![(0, None); 1 << 16])
    }
}

impl SoakLedger {
    /// Notes a disturbance of a known length.
    pub(crate) fn disturbed(&self, what: DisturbanceTarget, time: Duration) {
        let from = SteadyClock.now();
        self.disturbed_between(what, from, from.after(time));
    }

    /// Notes a disturbance between two times.
    pub(crate) fn disturbed_between(
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
    pub(crate) fn is_in_touch(&self, instance: usize, from: MonoTime, until: MonoTime) -> bool {
        let since = from.before(SoakPlan::CONTACT_TIME);
        !self.was_disturbed(DisturbanceTarget::Instance(instance), since, until)
            && !self.was_disturbed(DisturbanceTarget::Store, since, until)
    }

    /// Whether a grant that arrives now may have been held up on its way.
    pub(crate) fn is_late_excused(&self, now: MonoTime) -> bool {
        let from = now.before(SoakPlan::THAW_TIME);
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
    pub(crate) fn broke(&self, rule: &str, what: &str) {
        let at = SteadyClock.now();
        let text = format!("{rule}: {what} (at {} ms)", at.0 / 1_000);
        self.faults.lock().unwrap().push(text);
    }

    /// Notes a request's arrival at a server.
    pub(crate) fn arrived(&self, run: ExecutionRecord) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    /// Notes that a run began.
    pub(crate) fn began(&self, run: usize) {
        self.runs.lock().unwrap()[run].began = Some(SteadyClock.now());
    }

    /// Notes how a run ended.
    pub(crate) fn run_ended(&self, run: usize, end: ExecutionOutcome) {
        let mut runs = self.runs.lock().unwrap();
        runs[run].ended = Some(SteadyClock.now());
        runs[run].end = end;
    }

    /// Notes a caller's attempt.
    pub(crate) fn called(&self, call: CallRecord) {
        self.calls.lock().unwrap().push(call);
    }

    /// Notes the begin of a server's life.
    pub(crate) fn life_began(&self, life: Arc<BackendProcess>) {
        self.lives.lock().unwrap().push(life);
    }

    /// Notes the end of a server's life.
    pub(crate) fn life_ended(&self, mark: &ServerIncarnation) {
        self.lives.lock().unwrap().retain(|life| life.mark != *mark);
    }

    /// Checks a grant that a server took.
    pub(crate) fn granted(&self, mark: &ServerIncarnation, order: &KeyOrder, is_excused: bool) {
        let mut stale = None;
        let mut fences = self.fences.lock().unwrap();
        for key in order.first..=order.last {
            let (highest, last) = &mut fences.0[usize::from(key)];
            let is_other = last.as_ref().is_some_and(|last| last != mark);
            if is_other && order.fence <= *highest {
                stale = Some((key, *highest, last.clone()));
            }
            if order.fence >= *highest {
                *highest = order.fence;
                *last = Some(mark.clone());
            }
        }
        drop(fences);
        if let (Some((key, highest, last)), false) = (stale, is_excused) {
            let fence = order.fence;
            let what = format!(
                "{mark} took key {key} under fence {fence}, and {last:?} had it under {highest}"
            );
            self.broke("OWNER", &what);
        }
        if is_excused {
            return;
        }
        let now = SteadyClock.now();
        for life in self.other_lives(mark) {
            let keys = life.keys.lock().unwrap();
            let busy = (order.first..=order.last).find(|key| {
                let cell = keys.cell(*key);
                cell.running > 0 && now < cell.until && !cell.is_excused
            });
            if let Some(key) = busy {
                let other = &life.mark;
                self.broke(
                    "OWNER",
                    &format!("{mark} was given key {key} while {other} was at work on it"),
                );
            }
        }
    }

    /// Checks that nobody else holds the key of a request that begins.
    pub(crate) fn key_begun(
        &self,
        mark: &ServerIncarnation,
        key: u16,
        fence: u64,
        is_excused: bool,
    ) {
        let now = SteadyClock.now();
        for life in self.other_lives(mark) {
            let cell = life.keys.lock().unwrap().cell(key);
            if now < cell.until && !cell.is_excused && !is_excused {
                let (other, theirs) = (&life.mark, cell.fence);
                let what = format!(
                    "{mark} began on key {key} under fence {fence}, and {other} holds it under {theirs}"
                );
                self.broke("OWNER", &what);
            }
        }
    }

    fn other_lives(&self, mark: &ServerIncarnation) -> Vec<Arc<BackendProcess>> {
        let lives = self.lives.lock().unwrap();
        lives
            .iter()
            .filter(|life| life.mark != *mark)
            .cloned()
            .collect()
    }
}
