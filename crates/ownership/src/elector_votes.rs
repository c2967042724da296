//! Turns the votes that an instance has received into leadership, and requests new ones.

use crate::{leader_elector::ElectionRole, prelude::*};

impl LeaderElector {
    /// Updates the role of a candidate or leader from the votes that are valid at `now`.
    ///
    /// The latest known record is used in full as soon as the former members agree with it. Until
    /// then a leader goes on under the record that it acts on, and a leader without one may only
    /// renew ownership that does not change.
    pub(crate) fn update_role(&mut self, now: MonoTime, fleet: &FleetView) {
        if matches!(self.role, ElectionRole::Follower) {
            return;
        }
        self.renew_own_vote(now, fleet);
        let acting = match &self.role {
            ElectionRole::Leader { authority } => Some(LeaderAuthority::clone(authority)),
            ElectionRole::Follower | ElectionRole::Candidate { .. } => None,
        };
        let ballot = match acting {
            Some(_) => (0, 0),
            None => self.ballot,
        };
        let full_until = self.full_majority_until(&self.record, ballot, fleet);
        let frozen_until = self.record_majority_until(&self.record, ballot);
        let acting_until = acting
            .as_ref()
            .filter(|authority| !authority.frozen)
            .map_or(MonoTime::default(), |authority| {
                self.record_majority_until(&authority.record, ballot)
            });
        if full_until > now {
            self.activated_edition = self.activated_edition.max(self.record.edition);
            self.set_authority(full_until, false);
        } else if acting_until > now {
            let mut authority = acting.expect("an older record is acted on");
            authority.valid_until = acting_until;
            self.role = ElectionRole::Leader {
                authority: Box::new(authority),
            };
        } else if frozen_until > now {
            self.set_authority(frozen_until, true);
        } else if acting.is_some() {
            self.step_down(now);
        }
    }

    /// Leads under the latest known record until `valid_until`.
    ///
    /// The round stays while the votes for the current ballot expire before `valid_until`: the
    /// majority then rests on votes for the ballot before it.
    fn set_authority(&mut self, valid_until: MonoTime, frozen: bool) {
        let round = match &self.role {
            ElectionRole::Leader { authority }
                if authority.record.term == self.record.term
                    && self.record_majority_until(&self.record, self.ballot) < valid_until =>
            {
                authority.round
            }
            _ if self.ballot.0 == self.record.term => self.ballot.1,
            _ => 0,
        };
        let authority = LeaderAuthority {
            record: self.record.clone(),
            round,
            valid_until,
            frozen,
        };
        self.role = ElectionRole::Leader {
            authority: Box::new(authority),
        };
    }

    /// Stops leading; this instance may campaign again at once.
    fn step_down(&mut self, now: MonoTime) {
        self.role = ElectionRole::Follower;
        self.votes.clear();
        self.abandon_ballot();
        self.campaign_after = now;
    }

    /// Releases this instance's own vote; replies for the current ballot or an older one no longer
    /// count.
    fn abandon_ballot(&mut self) {
        self.voter
            .release(&self.own_id, self.voter.highest_ballot());
        self.highest_seen = self.highest_seen.max(self.ballot);
        self.min_ballot = (self.ballot.0, self.ballot.1 + 1);
    }

    /// Gives leadership up and tells the `former` and the current members that their votes are
    /// free.
    pub(crate) fn release_votes(&mut self, former: &[InstanceId]) {
        let mut voters = former.to_vec();
        voters.extend(self.record.members());
        voters.sort();
        voters.dedup();
        for to in voters.into_iter().filter(|id| *id != self.own_id) {
            let release = VoteRelease {
                part: self.record.id.clone(),
                voter: to.clone(),
                candidate: self.own_id.clone(),
                ballot: self.ballot,
                record: self.record.clone(),
            };
            self.steps.push(ElectionStep::ReleaseVote { to, release });
        }
        self.role = ElectionRole::Follower;
        self.votes.clear();
        self.abandon_ballot();
    }

    /// Votes for this instance itself, but as a candidate only if that completes a majority.
    ///
    /// A candidate that fails to win thus does not block the others with its own vote.
    fn renew_own_vote(&mut self, now: MonoTime, fleet: &FleetView) {
        let request = self.vote_request_to(&self.own_id.clone());
        if !self.is_leader() {
            let mut with_own_vote = self.clone();
            with_own_vote.record_own_vote(&request, now);
            let record = &self.record;
            let gained_until = with_own_vote
                .record_majority_until(record, self.ballot)
                .max(with_own_vote.full_majority_until(record, self.ballot, fleet));
            if gained_until <= now {
                return;
            }
        }
        self.record_own_vote(&request, now);
    }

    fn is_leader(&self) -> bool {
        matches!(self.role, ElectionRole::Leader { .. })
    }

    /// Votes for this instance itself, if its own vote is free.
    fn record_own_vote(&mut self, request: &VoteRequest, now: MonoTime) {
        let outcome = self
            .voter
            .vote(request, self.record.edition, now, &self.timing);
        if let VoteOutcome::Granted(span) = outcome {
            let until = now.after(self.timing.shortened_by_drift(span));
            self.votes
                .record(&request.voter, until, self.record.edition, self.ballot);
        }
    }

    /// Time on this instance's clock until which a majority of the members of `record` votes for
    /// it.
    fn record_majority_until(&self, record: &PartRecord, ballot: (u64, u32)) -> MonoTime {
        self.votes
            .majority_until(&record.members(), record.edition, ballot, |_| false)
    }

    /// Time on this instance's clock until which a majority of the members of `record` votes for it
    /// and, while the record is not activated, a majority of each set of former members does too.
    fn full_majority_until(
        &self,
        record: &PartRecord,
        ballot: (u64, u32),
        fleet: &FleetView,
    ) -> MonoTime {
        let own = self.record_majority_until(record, ballot);
        if self.activated_edition >= record.edition {
            return own;
        }
        record
            .former_members
            .iter()
            .map(|members| {
                self.votes
                    .majority_until(members, record.edition, ballot, |id| fleet.has_ended(id))
            })
            .fold(own, MonoTime::min)
    }

    /// Requests the vote of every member whose vote counts for the record acted on or the latest
    /// one.
    pub(crate) fn request_votes(&mut self) {
        self.ballot = self.next_ballot();
        let mut members = self.record.members();
        if self.activated_edition < self.record.edition {
            members.extend(self.record.former_members.iter().flatten().cloned());
        }
        if let ElectionRole::Leader { authority } = &self.role {
            members.extend(authority.record.members());
        }
        members.sort();
        members.dedup();
        members.retain(|member| *member != self.own_id);
        for member in members {
            let request = self.vote_request_to(&member);
            self.steps.push(ElectionStep::RequestVote(request));
        }
    }

    /// Request to `voter`, with the record if the voter may not know it.
    fn vote_request_to(&self, voter: &InstanceId) -> VoteRequest {
        let known_edition = self.known_editions.get(voter).copied().unwrap_or_default();
        VoteRequest {
            part: self.record.id.clone(),
            voter: voter.clone(),
            candidate: self.own_id.clone(),
            term: self.ballot.0,
            round: self.ballot.1,
            edition: self.record.edition,
            activated_edition: self.activated_edition,
            record: (known_edition < self.record.edition).then(|| self.record.clone()),
        }
    }

    /// Ballot of the next round of requests.
    ///
    /// The ballot is kept while it is the highest one and in use; otherwise the round goes up. A
    /// new term starts at round 0 for its recorded leader and at round 1 for the others.
    fn next_ballot(&self) -> (u64, u32) {
        let term = self.record.term;
        let highest = self.voter.highest_ballot().max(self.highest_seen);
        let holds_highest =
            self.voter.last_vote_was(&self.own_id, highest) && self.ballot >= self.highest_seen;
        match highest.0 == term {
            true if holds_highest => self.ballot.max((term, 0)),
            true if self.ballot >= highest && self.is_leader() => self.ballot,
            true if self.ballot > highest => self.ballot,
            true => (term, highest.1 + 1),
            false if self.record.leader == self.own_id => (term, 0),
            false => (term, 1),
        }
    }

    /// Position of `id` among the members; a lower one has precedence. `usize::MAX` for others.
    pub(crate) fn election_rank(&self, id: &InstanceId) -> usize {
        let members = self.record.members();
        members
            .iter()
            .position(|member| member == id)
            .unwrap_or(usize::MAX)
    }

    /// Delay before a campaign; the second standby waits so that the first one can win before it.
    pub(crate) fn campaign_delay(&self) -> Duration {
        match self.election_rank(&self.own_id) {
            0 | 1 => Duration::ZERO,
            _ => self.timing.heartbeat * 2,
        }
    }

    /// Whether this instance may request votes for itself at `now`.
    pub(crate) fn may_campaign(&self, now: MonoTime) -> bool {
        !self.leaving
            && self.election_rank(&self.own_id) != usize::MAX
            && !self.voter.voted_for_other(&self.own_id, now)
            && now
                >= self
                    .campaign_after
                    .max(self.voter.expires_at().after(self.campaign_delay()))
    }

    /// Delays the own campaign by one lease, so that the leader named by the record can win first.
    pub(crate) fn defer_to_recorded_leader(&mut self, now: MonoTime) {
        self.campaign_after = match self.record.leader == self.own_id {
            true => now,
            false => now.after(self.timing.lengthened_by_drift(self.timing.lease)),
        };
    }
}
