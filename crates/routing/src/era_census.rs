//! What the other instances have said since this one knows the era of the store.
//!
//! The store may have lost the takeover of a leader. An instance that knows of the new era takes over
//! no record of an earlier one. So once it has told its term together with the new era, it leads by
//! no later term that the store has lost.

use crate::prelude::*;

/// Words of the other instances, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct EraCensus {
    /// Incarnations that were heard before the present era was known.
    earlier: IndexMap<String, u64>,
    /// What was said together with the present era.
    reports: IndexMap<String, PeerReport>,
}

/// What one instance has said in the present era.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    incarnation: u64,
    /// Highest term of the key record that it has told.
    term: u64,
    /// Latest time, on this instance's clock, at which it certainly took this one for its leader.
    heard_at: Option<MonoTime>,
    first_at: MonoTime,
}

/// Requirements that the reports of the other instances have to meet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CensusQuestion<'a> {
    /// Names of the instances that must have spoken.
    pub(crate) others: &'a [String],
    /// Term of the record that this instance knows.
    pub(crate) term: u64,
    /// Time at which or after which they must have taken this instance for the leader, if any.
    pub(crate) heard_since: Option<MonoTime>,
    /// Time from the first report of a new incarnation until the grants of its predecessor have
    /// expired.
    pub(crate) max_validity: Duration,
}

/// What the reports say about leaders that the store has lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CensusVerdict {
    /// Instances are missing that may lead by a later term.
    Incomplete,
    /// An instance knows a later term.
    LaterTerm,
    /// None leads by a later term. `has_restarted`: the predecessor of some incarnation may have done
    /// so, and moved keys, but its grants have expired.
    Complete { has_restarted: bool },
}

impl EraCensus {
    /// Begins again for a new era.
    pub(crate) fn begin_era(&mut self) {
        for (name, report) in self.reports.drain(..) {
            self.earlier.insert(name, report.incarnation);
        }
    }

    /// Records an instance that did not know the present era yet.
    pub(crate) fn record_earlier(&mut self, peer: &InstanceIncarnation) {
        let known = self.earlier.entry(peer.instance.clone()).or_default();
        *known = peer.incarnation.max(*known);
    }

    /// Records the term that an instance told together with the present era.
    pub(crate) fn record_report(
        &mut self,
        peer: &InstanceIncarnation,
        term: u64,
        heard_at: Option<MonoTime>,
        now: MonoTime,
    ) {
        match self.reports.get_mut(&peer.instance) {
            Some(report) if report.incarnation > peer.incarnation => {}
            Some(report) if report.incarnation == peer.incarnation => {
                report.term = report.term.max(term);
                report.heard_at = report.heard_at.max(heard_at);
            }
            _ => {
                let report = PeerReport {
                    incarnation: peer.incarnation,
                    term,
                    heard_at,
                    first_at: now,
                };
                self.reports.insert(peer.instance.clone(), report);
            }
        }
    }

    /// Whether one of the other instances may lead, or may have led, by a later term.
    pub(crate) fn verdict(&self, question: CensusQuestion, now: MonoTime) -> CensusVerdict {
        if self
            .reports
            .values()
            .any(|report| report.term > question.term)
        {
            return CensusVerdict::LaterTerm;
        }
        let mut has_restarted = false;
        for name in question.others {
            let Some(report) = self.reports.get(name) else {
                return CensusVerdict::Incomplete;
            };
            if question.heard_since.is_some() && report.heard_at < question.heard_since {
                return CensusVerdict::Incomplete;
            }
            if self.earlier.get(name) != Some(&report.incarnation) {
                has_restarted = true;
                if now.since(report.first_at) < question.max_validity {
                    return CensusVerdict::Incomplete;
                }
            }
        }
        CensusVerdict::Complete { has_restarted }
    }

    /// Whether all of these instances know the term, or a later one.
    pub(crate) fn all_know<'a>(
        &self,
        mut names: impl Iterator<Item = &'a String>,
        term: u64,
    ) -> bool {
        names.all(|name| {
            let report = self.reports.get(name);
            report.is_some_and(|report| report.term >= term)
        })
    }
}
