//! The vote of one member in the election of a part's leader.

use crate::prelude::*;

/// Candidate that holds this instance's vote for a part's leader, and until when.
#[derive(Clone, Debug)]
pub struct VoterState {
    own_id: InstanceId,
    ready_at: MonoTime,
    holder: Option<InstanceId>,
    expires_at: MonoTime,
    highest_ballot: (u64, u32),
}

impl VoterState {
    /// Voter of the incarnation `own_id`, which started at `started`.
    ///
    /// It votes only after a whole lease, because the incarnation before it may have voted.
    pub fn new(own_id: &InstanceId, started: MonoTime, timing: &TimingSettings) -> Self {
        Self {
            own_id: own_id.clone(),
            ready_at: started.after(timing.lengthened_by_drift(timing.lease)),
            holder: None,
            expires_at: MonoTime::default(),
            highest_ballot: (0, 0),
        }
    }

    /// Decides on a request; `known` is the edition of the latest record that this instance knows.
    pub fn vote(
        &mut self,
        request: &VoteRequest,
        known: u64,
        now: MonoTime,
        timing: &TimingSettings,
    ) -> VoteOutcome {
        if request.voter != self.own_id || now < self.ready_at {
            return VoteOutcome::NotReady;
        }
        let ballot = (request.term, request.round);
        let renewed =
            ballot == self.highest_ballot && self.holder.as_ref() == Some(&request.candidate);
        if request.edition < known || (ballot <= self.highest_ballot && !renewed) {
            return VoteOutcome::Stale;
        }
        if self.voted_for_other(&request.candidate, now) {
            return VoteOutcome::HeldByOther(self.expires_at.since(now));
        }
        self.highest_ballot = ballot;
        self.holder = Some(request.candidate.clone());
        self.expires_at = self
            .expires_at
            .max(now.after(timing.lengthened_by_drift(timing.lease)));
        VoteOutcome::Granted(timing.lease)
    }

    /// Frees the vote before it expires; a delayed copy of the request for it is refused.
    pub fn release(&mut self, holder: &InstanceId, ballot: (u64, u32)) {
        if self.last_vote_was(holder, ballot) {
            self.holder = None;
            self.expires_at = MonoTime::default();
        }
    }

    /// Whether an instance other than `candidate` holds the vote at `now`.
    pub fn voted_for_other(&self, candidate: &InstanceId, now: MonoTime) -> bool {
        self.expires_at > now && self.holder.as_ref().is_some_and(|other| other != candidate)
    }

    /// Instance that holds the vote at `now`.
    pub fn holder(&self, now: MonoTime) -> Option<&InstanceId> {
        self.holder.as_ref().filter(|_| self.expires_at > now)
    }

    /// Time on this instance's clock at which the last vote expires.
    pub fn expires_at(&self) -> MonoTime {
        self.expires_at
    }

    /// Highest term and round voted for.
    pub fn highest_ballot(&self) -> (u64, u32) {
        self.highest_ballot
    }

    /// Whether the last vote went to `holder` at `ballot` and has not been released.
    pub fn last_vote_was(&self, holder: &InstanceId, ballot: (u64, u32)) -> bool {
        self.highest_ballot == ballot && self.holder.as_ref() == Some(holder)
    }
}
