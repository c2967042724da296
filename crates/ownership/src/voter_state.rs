//! A trio member's loans of one part: to one holder at a time.

use crate::prelude::*;

/// Who holds this instance's loan of a part, and until when.
#[derive(Clone, Debug)]
pub struct VoterState {
    me: InstanceId,
    ready_at: MonoTime,
    holder: Option<InstanceId>,
    until: MonoTime,
    highest_ballot: (u64, u32),
}

impl VoterState {
    /// Table of a run that began at `started`: nothing is lent before a whole lease has passed.
    pub fn new(me: &InstanceId, started: MonoTime, timing: &TimingSettings) -> Self {
        Self {
            me: me.clone(),
            ready_at: started.after(timing.lengthened_by_drift(timing.lease)),
            holder: None,
            until: MonoTime::default(),
            highest_ballot: (0, 0),
        }
    }

    /// Decides on a request; `known` is the edition of the latest record known here.
    pub fn vote(
        &mut self,
        request: &VoteRequest,
        known: u64,
        now: MonoTime,
        timing: &TimingSettings,
    ) -> VoteOutcome {
        if request.voter != self.me || now < self.ready_at {
            return VoteOutcome::NotReady;
        }
        let ballot = (request.term, request.round);
        let renewed =
            ballot == self.highest_ballot && self.holder.as_ref() == Some(&request.candidate);
        if request.edition < known || (ballot <= self.highest_ballot && !renewed) {
            return VoteOutcome::Stale;
        }
        if self.voted_for_other(&request.candidate, now) {
            return VoteOutcome::HeldByOther(self.until.since(now));
        }
        self.highest_ballot = ballot;
        self.holder = Some(request.candidate.clone());
        self.until = self
            .until
            .max(now.after(timing.lengthened_by_drift(timing.lease)));
        VoteOutcome::Granted(timing.lease)
    }

    /// Takes a loan back early; a late copy of its request gets nothing.
    pub fn release(&mut self, holder: &InstanceId, ballot: (u64, u32)) {
        if self.last_vote_was(holder, ballot) {
            self.holder = None;
            self.until = MonoTime::default();
        }
    }

    /// Whether an instance other than `holder` holds the loan.
    pub fn voted_for_other(&self, holder: &InstanceId, now: MonoTime) -> bool {
        self.until > now && self.holder.as_ref().is_some_and(|other| other != holder)
    }

    /// Instance that holds the loan.
    pub fn holder(&self, now: MonoTime) -> Option<&InstanceId> {
        self.holder.as_ref().filter(|_| self.until > now)
    }

    /// Our reading until which the loan is lent.
    pub fn until(&self) -> MonoTime {
        self.until
    }

    /// Highest term and round lent to.
    pub fn highest_ballot(&self) -> (u64, u32) {
        self.highest_ballot
    }

    /// Whether `holder` was the last to hold the loan, at this term and round.
    pub fn last_vote_was(&self, holder: &InstanceId, ballot: (u64, u32)) -> bool {
        self.highest_ballot == ballot && self.holder.as_ref() == Some(holder)
    }
}
