//! How a elector's votes turn into authority, and which requests keep it.

use crate::{leader_elector::ElectionRole, prelude::*};

impl LeaderElector {
    /// Brings the role in line with the votes held at `now`.
    pub(crate) fn settle(&mut self, now: MonoTime, fleet: &FleetView) {
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
        let full = self.activated_until(&self.record, ballot, fleet);
        let frozen = self.majority_until(&self.record, ballot);
        let older = acting
            .as_ref()
            .filter(|authority| !authority.frozen)
            .map_or(MonoTime::default(), |authority| {
                self.majority_until(&authority.record, ballot)
            });
        if full > now {
            self.activated_edition = self.activated_edition.max(self.record.edition);
            self.hold(full, false);
        } else if older > now {
            let mut authority = acting.expect("an older record is acted on");
            authority.until = older;
            self.role = ElectionRole::Leader {
                authority: Box::new(authority),
            };
        } else if frozen > now {
            self.hold(frozen, true);
        } else if acting.is_some() {
            self.step_down(now);
        }
    }

    fn hold(&mut self, until: MonoTime, frozen: bool) {
        let round = match &self.role {
            ElectionRole::Leader { authority }
                if authority.record.term == self.record.term
                    && self.majority_until(&self.record, self.ballot) < until =>
            {
                authority.round
            }
            _ if self.ballot.0 == self.record.term => self.ballot.1,
            _ => 0,
        };
        let authority = LeaderAuthority {
            record: self.record.clone(),
            round,
            until,
            frozen,
        };
        self.role = ElectionRole::Leader {
            authority: Box::new(authority),
        };
    }

    fn step_down(&mut self, now: MonoTime) {
        self.role = ElectionRole::Follower;
        self.votes.clear();
        self.give_up_ballot();
        self.seek_after = now;
    }

    fn give_up_ballot(&mut self) {
        self.voter.release(&self.me, self.voter.highest_ballot());
        self.highest_seen = self.highest_seen.max(self.ballot);
        self.min_ballot = (self.ballot.0, self.ballot.1 + 1);
    }

    pub(crate) fn give_back(&mut self, former: &[InstanceId]) {
        let mut told = former.to_vec();
        told.extend(self.record.members());
        told.sort();
        told.dedup();
        for to in told.into_iter().filter(|id| *id != self.me) {
            let release = VoteRelease {
                part: self.record.id.clone(),
                voter: to.clone(),
                candidate: self.me.clone(),
                ballot: self.ballot,
                record: self.record.clone(),
            };
            self.steps.push(ElectionStep::ReleaseVote { to, release });
        }
        self.role = ElectionRole::Follower;
        self.votes.clear();
        self.give_up_ballot();
    }

    /// Lends this instance's own loan to itself where that keeps or gives authority.
    fn renew_own_vote(&mut self, now: MonoTime, fleet: &FleetView) {
        let request = self.vote_request(&self.me.clone());
        if !self.holds() {
            let mut with_own_vote = self.clone();
            with_own_vote.record_own_vote(&request, now);
            let record = &self.record;
            let gained = with_own_vote
                .majority_until(record, self.ballot)
                .max(with_own_vote.activated_until(record, self.ballot, fleet));
            if gained <= now {
                return;
            }
        }
        self.record_own_vote(&request, now);
    }

    fn holds(&self) -> bool {
        matches!(self.role, ElectionRole::Leader { .. })
    }

    fn record_own_vote(&mut self, request: &VoteRequest, now: MonoTime) {
        let outcome = self
            .voter
            .vote(request, self.record.edition, now, &self.timing);
        if let VoteOutcome::Granted(span) = outcome {
            let until = now.after(self.timing.shortened_by_drift(span));
            self.votes
                .note(&request.voter, until, self.record.edition, self.ballot);
        }
    }

    /// Our reading until which the trio of `record` lends.
    fn majority_until(&self, record: &PartRecord, ballot: (u64, u32)) -> MonoTime {
        self.votes
            .majority_until(&record.members(), record.edition, ballot, |_| false)
    }

    /// Our reading until which the trio of `record` and all that must agree with it lend.
    fn activated_until(
        &self,
        record: &PartRecord,
        ballot: (u64, u32),
        fleet: &FleetView,
    ) -> MonoTime {
        let own = self.majority_until(record, ballot);
        if self.activated_edition >= record.edition {
            return own;
        }
        record
            .former_members
            .iter()
            .map(|trio| {
                self.votes
                    .majority_until(trio, record.edition, ballot, |id| fleet.has_ended(id))
            })
            .fold(own, MonoTime::min)
    }

    /// Asks every member whose loan counts.
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
        members.retain(|member| *member != self.me);
        for member in members {
            let request = self.vote_request(&member);
            self.steps.push(ElectionStep::RequestVote(request));
        }
    }

    fn vote_request(&self, voter: &InstanceId) -> VoteRequest {
        let knows = self.known.get(voter).copied().unwrap_or_default();
        VoteRequest {
            part: self.record.id.clone(),
            voter: voter.clone(),
            candidate: self.me.clone(),
            term: self.ballot.0,
            round: self.ballot.1,
            edition: self.record.edition,
            activated_edition: self.activated_edition,
            record: (knows < self.record.edition).then(|| self.record.clone()),
        }
    }

    fn next_ballot(&self) -> (u64, u32) {
        let term = self.record.term;
        let highest = self.voter.highest_ballot().max(self.highest_seen);
        let mine = self.voter.last_vote_was(&self.me, highest) && self.ballot >= self.highest_seen;
        match highest.0 == term {
            true if mine => self.ballot.max((term, 0)),
            true if self.ballot >= highest && self.holds() => self.ballot,
            true if self.ballot > highest => self.ballot,
            true => (term, highest.1 + 1),
            false if self.record.leader == self.me => (term, 0),
            false => (term, 1),
        }
    }

    /// Position among those that may lead; lower goes first.
    pub(crate) fn rank_of(&self, id: &InstanceId) -> usize {
        let trio = self.record.members();
        trio.iter()
            .position(|member| member == id)
            .unwrap_or(usize::MAX)
    }

    /// Extra wait of the second standby, so that the first goes before it.
    pub(crate) fn stagger(&self) -> Duration {
        match self.rank_of(&self.me) {
            0 | 1 => Duration::ZERO,
            _ => self.timing.heartbeat * 2,
        }
    }

    pub(crate) fn may_seek(&self, now: MonoTime) -> bool {
        !self.leaving
            && self.rank_of(&self.me) != usize::MAX
            && !self.voter.voted_for_other(&self.me, now)
            && now
                >= self
                    .seek_after
                    .max(self.voter.until().after(self.stagger()))
    }

    /// Lets the leader on record go first.
    pub(crate) fn give_leader_time(&mut self, now: MonoTime) {
        self.seek_after = match self.record.leader == self.me {
            true => now,
            false => now.after(self.timing.lengthened_by_drift(self.timing.lease)),
        };
    }
}
