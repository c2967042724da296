//! Requests under which servers crashed.
//!
//! A request may crash each server that runs it, and come again at any instance. Instances report
//! crashes to each other by the content of the request and the incarnation of the server, so that
//! a crash that several of them report counts once. After three crashes the request is
//! quarantined: it is refused, except for trials, which get rarer. A server's answer to the
//! request, at any instance, ends all suspicion. Quarantines and the number of their trials are
//! also kept in the store, see [`QuarantineRecord`] and `quarantine_merge.rs`.

use crate::{
    prelude::*,
    suspect_entry::{CrashMark, StageStorage, SuspectEntry},
};

/// Suspect and quarantined requests, as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    pub(crate) entries: IndexMap<RequestIdentity, SuspectEntry>,
    /// Quarantines that have ended but are still in the store's record, and whether this instance
    /// found that out.
    pub(crate) lifted: IndexMap<RequestIdentity, bool>,
    /// The latest quarantines that have ended and are no longer in the store's record.
    pub(crate) ended: IndexSet<RequestIdentity>,
    pub(crate) record_revision: StoreRevision,
    pub(crate) is_restoring: bool,
}

/// What a report or a server's answer has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectChange {
    /// Nothing.
    None,
    /// The request has crashed this many servers.
    Marked(usize),
    /// The request is quarantined from now on, after this many crashes.
    Quarantined(usize),
    /// Nothing speaks against the request any more. Holds whether it was quarantined.
    Cleared(bool),
}

impl QuarantineTable {
    /// Maximum number of requests.
    const MAX_ENTRIES: usize = 512;
    /// Time for which the other instances are told of a change.
    const TELLING_TIME: Duration = Duration::from_secs(3);

    /// Whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a request with this path and query may be suspect.
    pub fn may_contain(&self, target: TargetHash) -> bool {
        self.entries.values().any(|entry| entry.target == target)
    }

    /// How a request is to be treated now.
    pub fn standing(&self, identity: RequestIdentity, now: MonoTime) -> RequestStanding {
        let entry = self.entries.get(&identity);
        entry.map_or(RequestStanding::Clear, |entry| entry.standing(now))
    }

    /// Number of servers that crashed under a request.
    pub fn crashes(&self, identity: RequestIdentity) -> usize {
        self.entries.get(&identity).map_or(0, SuspectEntry::crashes)
    }

    /// Counts a copy of a suspect request that starts to run here.
    pub fn start(&mut self, identity: RequestIdentity) {
        if let Some(entry) = self.entries.get_mut(&identity) {
            entry.running += 1;
        }
    }

    /// Counts the end of a copy that was counted by [`Self::start`].
    pub fn end(&mut self, identity: RequestIdentity) {
        if let Some(entry) = self.entries.get_mut(&identity) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Applies a crash that this instance saw. A server that crashes again some time later has
    /// started again in between, which discovery may not tell yet.
    pub fn record_crash(&mut self, mut report: SuspectReport, now: MonoTime) -> SuspectChange {
        if let Some(entry) = self.entries.get(&report.identity) {
            while entry.has_earlier_crash(report.server, now) {
                report.server = report.server.next_start();
            }
        }
        self.apply(report, true, now)
    }

    /// Applies what another instance reports.
    pub fn apply_report(&mut self, report: SuspectReport, now: MonoTime) -> SuspectChange {
        self.apply(report, false, now)
    }

    fn apply(&mut self, report: SuspectReport, is_own: bool, now: MonoTime) -> SuspectChange {
        self.make_room(now);
        let entry = self
            .entries
            .entry(report.identity)
            .or_insert_with(|| SuspectEntry::new(report.target, report.is_keyed));
        let mark = CrashMark {
            at: now,
            is_own,
            verdict: report.verdict,
            told_until: now.after(Self::TELLING_TIME),
        };
        match entry.marks.get_mut(&report.server) {
            Some(known) if known.verdict >= report.verdict => {
                known.is_own |= is_own;
                return SuspectChange::None;
            }
            Some(known) => {
                known.verdict = mark.verdict;
                known.told_until = mark.told_until;
            }
            None => {
                entry.marks.insert(report.server, mark);
            }
        }
        match report.verdict {
            CrashVerdict::Answered => {
                entry.set_verdict(report.verdict, mark.told_until, |_, _| true);
                self.lift(report.identity, false)
            }
            CrashVerdict::Crashed => match entry.quarantine_if_due(now) {
                true => {
                    self.ended.shift_remove(&report.identity);
                    SuspectChange::Quarantined(entry.crashes())
                }
                false => SuspectChange::Marked(entry.crashes()),
            },
        }
    }

    /// Ends all suspicion against a request that a server has answered.
    pub fn record_success(&mut self, identity: RequestIdentity, now: MonoTime) -> SuspectChange {
        let Some(entry) = self.entries.get_mut(&identity) else {
            return SuspectChange::None;
        };
        let told_until = now.after(Self::TELLING_TIME);
        let has_changed = entry.set_verdict(CrashVerdict::Answered, told_until, |_, _| true);
        match has_changed || entry.quarantine.is_some() {
            true => self.lift(identity, true),
            false => SuspectChange::None,
        }
    }

    fn lift(&mut self, identity: RequestIdentity, is_own: bool) -> SuspectChange {
        let Some(entry) = self.entries.get_mut(&identity) else {
            return SuspectChange::None;
        };
        let stage = entry.quarantine.take();
        if stage.is_some_and(|stage| stage.storage != StageStorage::Pending) {
            *self.lifted.entry(identity).or_default() |= is_own;
        }
        SuspectChange::Cleared(stage.is_some())
    }

    /// Reports to the other instances, at most `max`: requests with the most crashes first. With
    /// `passes_on`, also what other instances reported, and quarantines that are not stored.
    pub fn reports(&self, passes_on: bool, max: usize, now: MonoTime) -> Vec<SuspectReport> {
        let mut reports = Vec::new();
        for (identity, entry) in &self.entries {
            for (server, mark) in entry.told_marks(passes_on, now) {
                let report = SuspectReport {
                    identity: *identity,
                    target: entry.target,
                    is_keyed: entry.is_keyed,
                    server: *server,
                    verdict: mark.verdict,
                };
                reports.push((entry.crashes(), mark.at, report));
            }
        }
        reports.sort_by_key(|(crashes, at, _)| std::cmp::Reverse((*crashes, *at)));
        reports.truncate(max);
        reports.into_iter().map(|(_, _, report)| report).collect()
    }

    /// Drops what is too old to count, and the least important requests of a full table.
    fn make_room(&mut self, now: MonoTime) {
        for entry in self.entries.values_mut() {
            entry.drop_expired(now);
        }
        self.entries.retain(|_, entry| !entry.is_empty());
        if self.entries.len() < Self::MAX_ENTRIES {
            return;
        }
        let importance = |entry: &SuspectEntry| {
            let latest = entry.marks.values().map(|mark| mark.at).max();
            (
                entry.quarantine.is_some(),
                entry.running > 0,
                entry.crashes(),
                latest,
            )
        };
        let least = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| importance(entry))
            .map(|(identity, _)| *identity);
        if let Some(identity) = least {
            self.entries.swap_remove(&identity);
        }
    }
}
