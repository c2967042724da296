//! Age of what an instance knows of the store's objects.
//!
//! Knowledge without an age hides a change: a watch that is never answered looks like a store
//! without changes, and a leader that is heard may itself be behind. So an instance tracks up to
//! which time its knowledge is known to be complete. Its own calls to the store prove that, or
//! another instance that knows no more and states its age. An instance whose knowledge gets too
//! old asks by itself: other instances at first, and the store if it is one of few that do.

use crate::{prelude::*, revision_coverage::RevisionCoverage};

/// Time up to which all changes of the store's objects are known.
#[derive(Debug, Default)]
pub struct KnowledgeAge {
    /// Latest confirmation by the number of instances between the store and this one.
    confirmed_at: [Option<MonoTime>; Self::MAX_HOPS + 1],
    /// When another instance was known to know more.
    doubted_at: Option<MonoTime>,
    coverage: RevisionCoverage,
    /// Latest revision that the store has told, and when it was asked.
    observed: Option<(MonoTime, StoreRevision)>,
}

/// Age of the knowledge of one instance, as it tells others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnowledgeReport {
    /// Time since the knowledge was known to be complete, or `UNKNOWN_AGE`.
    pub age: Duration,
    /// Number of instances between the store and the reporting one.
    pub hops: usize,
}

/// What to do about the age of the knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefreshStep {
    /// Nothing yet.
    Wait,
    /// Ask another instance for updates and for its age.
    AskPeer,
    /// Ask the store.
    AskStore,
}

impl KnowledgeReport {
    /// Age of knowledge that was never known to be complete.
    pub const UNKNOWN_AGE: Duration = Duration::from_micros(u64::MAX);
}

impl KnowledgeAge {
    /// Age at which an instance from which others learn asks the store.
    pub const CHECK_AGE: Duration = Duration::from_millis(1_200);
    /// Age at which any other instance asks: above `CHECK_AGE` by a few lost heartbeats, and below
    /// the time within which a change has to be in force.
    pub const MAX_AGE: Duration = Duration::from_millis(1_700);
    /// Largest number of instances between the store and this one. Each of them takes the time that
    /// its report is on the way for none, so that reports which go in circles would confirm each
    /// other.
    pub const MAX_HOPS: usize = 2;
    /// Expected number of those that others ask which ask the store when the knowledge of all gets too
    /// old.
    const STORE_ASKERS: f64 = 3.5;
    /// The same of all other instances, in case that none of those reaches the store.
    const OTHER_ASKERS: f64 = 0.9;

    /// Records that the change with this revision is known.
    pub fn record_change(&mut self, revision: StoreRevision) {
        self.coverage.add(revision);
        self.confirm_observed();
    }

    /// Records that all changes up to this revision are known.
    pub fn record_complete(&mut self, revision: StoreRevision) {
        self.coverage.complete(revision);
        self.confirm_observed();
    }

    /// Records the store's revision, as the answer to a call that began at `asked_at`.
    pub fn observe(&mut self, asked_at: MonoTime, revision: StoreRevision) {
        // A revision below the complete ones is that of an earlier call, or of a restored store.
        let is_later = self.observed.is_none_or(|(at, _)| at <= asked_at);
        if is_later && revision >= self.coverage.complete_revision() {
            self.observed = Some((asked_at, revision));
        }
        self.confirm_observed();
    }

    /// Records that this instance knows all that another one knew when it sent a report at
    /// `sent_at`.
    pub fn confirm_from(&mut self, report: KnowledgeReport, sent_at: MonoTime) {
        if report.age >= KnowledgeReport::UNKNOWN_AGE {
            return;
        }
        let hops = report.hops.saturating_add(1);
        if let Some(confirmed_at) = self.confirmed_at.get_mut(hops) {
            *confirmed_at = Some(sent_at.before(report.age)).max(*confirmed_at);
        }
    }

    /// Forgets which revisions are known, since the store has gone back to earlier ones.
    pub fn forget_revisions(&mut self) {
        self.coverage = RevisionCoverage::default();
        self.observed = None;
    }

    /// Records that another instance knows more than this one.
    pub fn doubt(&mut self, now: MonoTime) {
        self.doubted_at = Some(now);
    }

    /// Time since the knowledge was known to be complete.
    pub fn age(&self, now: MonoTime) -> Duration {
        let confirmed_at = self.confirmed_at.iter().flatten().max();
        now.since(confirmed_at.copied().unwrap_or_default())
    }

    /// What to tell other instances.
    pub fn report(&self, now: MonoTime) -> KnowledgeReport {
        let told = (0..Self::MAX_HOPS).rev();
        let hops = told.max_by_key(|hops| self.confirmed_at[*hops]);
        let hops = hops.unwrap_or_default();
        let confirmed_at = self.confirmed_at[hops];
        KnowledgeReport {
            age: confirmed_at.map_or(KnowledgeReport::UNKNOWN_AGE, |at| now.since(at)),
            hops,
        }
    }

    /// Whether all changes up to this revision are known.
    pub fn covers(&self, revision: StoreRevision) -> bool {
        self.coverage.covers(revision)
    }

    /// Asks the store instead of another instance when those asked so far have not helped in time.
    /// `may_reach_store` is whether the store has not just failed for this instance.
    pub fn escalate(
        &self,
        step: RefreshStep,
        may_reach_store: bool,
        now: MonoTime,
        draw: f64,
    ) -> RefreshStep {
        /// Age from which an instance no longer relies on others.
        const LATE_AGE: Duration = Duration::from_millis(2_000);
        /// Share of the instances that ask the store at each attempt: all may be late at once.
        const STORE_SHARE: f64 = 0.3;
        let is_late = self.age(now) >= LATE_AGE;
        match step == RefreshStep::AskPeer && is_late && may_reach_store && draw <= STORE_SHARE {
            true => RefreshStep::AskStore,
            false => step,
        }
    }

    /// What an instance does now. `is_source` is whether others learn from it, `is_asked` whether it
    /// is one of the few that others ask; `draw` is uniform in 0 to 1.
    pub fn next_step(
        &self,
        is_source: bool,
        is_asked: bool,
        instances: usize,
        now: MonoTime,
        draw: f64,
    ) -> RefreshStep {
        let age = self.age(now);
        let confirmed_at = now.before(age);
        let is_doubted = self.doubted_at.is_some_and(|at| confirmed_at <= at);
        match is_source {
            true if is_doubted || age >= Self::CHECK_AGE => RefreshStep::AskStore,
            false if is_doubted || age >= Self::MAX_AGE => {
                let asked = instances.min(WatcherSelection::MAX_VOLUNTEERS);
                let askers = match is_asked {
                    true => Self::STORE_ASKERS / asked as f64,
                    false => Self::OTHER_ASKERS / instances as f64,
                };
                match draw <= askers {
                    true => RefreshStep::AskStore,
                    false => RefreshStep::AskPeer,
                }
            }
            _ => RefreshStep::Wait,
        }
    }

    fn confirm_observed(&mut self) {
        if let Some((asked_at, _)) = self
            .observed
            .take_if(|(_, revision)| self.coverage.covers(*revision))
        {
            let direct = &mut self.confirmed_at[0];
            *direct = Some(asked_at).max(*direct);
        }
    }
}
