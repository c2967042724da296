//! Election of the leader of one part, as run by one instance.
//!
//! Each member of a part (its recorded leader and standbys) has one vote, which expires after a
//! lease. An instance leads the part while a majority of the members of the record that it acts on
//! votes for it. A newer record is activated once a majority of its own members and of each set of
//! former members votes for the leader and knows the record.

use crate::prelude::*;

/// State of one instance in the election of a part's leader: its own vote, and the votes for it.
#[derive(Clone, Debug)]
pub struct LeaderElector {
    pub(crate) own_id: InstanceId,
    pub(crate) timing: TimingSettings,
    pub(crate) voter: VoterState,
    /// Latest record that this instance knows.
    pub(crate) record: PartRecord,
    /// Latest edition that a leader is known to have acted on in full.
    pub(crate) activated_edition: u64,
    pub(crate) role: ElectionRole,
    pub(crate) votes: VoteTally,
    /// Latest edition that each voter is known to know.
    pub(crate) known_editions: IndexMap<InstanceId, u64>,
    /// Term and round of this instance's own requests.
    pub(crate) ballot: (u64, u32),
    /// Lowest ballot for which a granted vote still counts.
    pub(crate) min_ballot: (u64, u32),
    /// Highest ballot that a voter has reported.
    pub(crate) highest_seen: (u64, u32),
    /// Time before which this instance does not campaign.
    pub(crate) campaign_after: MonoTime,
    pub(crate) leaving: bool,
    pub(crate) write_pending: bool,
    pub(crate) steps: Vec<ElectionStep>,
}

#[derive(Clone, Debug)]
pub(crate) enum ElectionRole {
    Follower,
    Candidate { since: MonoTime },
    Leader { authority: Box<LeaderAuthority> },
}

impl LeaderElector {
    /// Time without a majority after which a candidate writes a record with new members.
    pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(1);

    /// Elector of the incarnation `own_id`, which started at `started`, for the part of `record`.
    pub fn new(
        own_id: &InstanceId,
        record: PartRecord,
        started: MonoTime,
        now: MonoTime,
        timing: TimingSettings,
    ) -> Self {
        let activated_edition = match record.edition {
            1 => 1,
            _ => 0,
        };
        let mut elector = Self {
            own_id: own_id.clone(),
            timing,
            voter: VoterState::new(own_id, started, &timing),
            activated_edition,
            role: ElectionRole::Follower,
            votes: VoteTally::default(),
            known_editions: IndexMap::new(),
            ballot: (0, 0),
            min_ballot: (0, 0),
            highest_seen: (0, 0),
            campaign_after: MonoTime::default(),
            leaving: false,
            write_pending: false,
            steps: Vec::new(),
            record,
        };
        elector.defer_to_recorded_leader(now);
        elector
    }

    /// Latest record that this instance knows.
    pub fn record(&self) -> &PartRecord {
        &self.record
    }

    /// Authority that this instance has at `now`, if it leads the part.
    pub fn authority(&self, now: MonoTime) -> Option<&LeaderAuthority> {
        match &self.role {
            ElectionRole::Leader { authority } if authority.valid_until > now => Some(authority),
            _ => None,
        }
    }

    /// Instance that holds this instance's vote at `now`.
    pub fn voted_for(&self, now: MonoTime) -> Option<&InstanceId> {
        self.voter.holder(now)
    }

    /// Whether `tick` should be called before the next heartbeat.
    pub fn is_due(&self, now: MonoTime) -> bool {
        match self.role {
            ElectionRole::Follower => self.may_campaign(now),
            ElectionRole::Candidate { .. } => true,
            ElectionRole::Leader { .. } => false,
        }
    }

    /// Whether this instance requests votes but does not lead.
    pub fn is_candidate(&self) -> bool {
        matches!(self.role, ElectionRole::Candidate { .. })
    }

    /// Removes and returns the messages and writes to carry out.
    pub fn take_steps(&mut self) -> Vec<ElectionStep> {
        std::mem::take(&mut self.steps)
    }

    /// Stops campaigning and hands the part over, because this instance is about to end.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Gives leadership up at once, so that a standby takes over without a new record in the store.
    pub fn release(&mut self) {
        if matches!(self.role, ElectionRole::Leader { .. }) {
            let members = self.record.members();
            self.release_votes(&members);
        }
    }

    /// Adopts a record that the store holds or held, if it is newer than the latest known one.
    pub fn learn_record(&mut self, record: PartRecord, now: MonoTime) {
        if record.edition <= self.record.edition {
            return;
        }
        let superseded = match &self.role {
            ElectionRole::Leader { authority } => {
                record.term > authority.record.term && record.leader != self.own_id
            }
            ElectionRole::Follower | ElectionRole::Candidate { .. } => false,
        };
        let former = self.record.members();
        self.record = record;
        if superseded {
            self.release_votes(&former);
        }
        self.defer_to_recorded_leader(now);
        if self.is_candidate() {
            self.role = ElectionRole::Follower;
        }
    }

    /// Answers a request for this instance's vote.
    ///
    /// A candidate refuses requests of members that come after it in the record.
    pub fn handle_request(&mut self, request: VoteRequest, now: MonoTime) -> VoteReply {
        if let Some(record) = request.record.clone() {
            self.learn_record(record, now);
        }
        self.activated_edition = self.activated_edition.max(request.activated_edition);
        let has_precedence = self.is_candidate()
            && self.election_rank(&self.own_id) < self.election_rank(&request.candidate);
        let outcome = match has_precedence {
            true => VoteOutcome::HeldByOther(self.timing.heartbeat),
            false => self
                .voter
                .vote(&request, self.record.edition, now, &self.timing),
        };
        VoteReply {
            part: request.part,
            voter: self.own_id.clone(),
            outcome,
            highest_ballot: self.voter.highest_ballot(),
            edition: self.record.edition,
            activated_edition: self.activated_edition,
            record: (request.edition < self.record.edition).then(|| self.record.clone()),
        }
    }

    /// Handles the answer to `request`, which was sent at `sent_at`.
    ///
    /// A granted vote counts from `sent_at`, so that it expires here before it does at the voter.
    pub fn handle_reply(
        &mut self,
        request: &VoteRequest,
        reply: VoteReply,
        sent_at: MonoTime,
        now: MonoTime,
        fleet: &FleetView,
    ) {
        if let Some(record) = reply.record {
            self.learn_record(record, now);
        }
        self.activated_edition = self.activated_edition.max(reply.activated_edition);
        self.highest_seen = self.highest_seen.max(reply.highest_ballot);
        self.known_editions
            .insert(request.voter.clone(), reply.edition);
        let ballot = (request.term, request.round);
        if let VoteOutcome::Granted(span) = reply.outcome
            && ballot >= self.min_ballot
            && reply.voter == request.voter
        {
            let until = sent_at.after(self.timing.shortened_by_drift(span));
            self.votes
                .record(&request.voter, until, reply.edition, ballot);
        }
        if let VoteOutcome::HeldByOther(left) = reply.outcome
            && self.is_candidate()
        {
            self.campaign_after = now.after(left.min(self.timing.lease));
            self.role = ElectionRole::Follower;
        }
        self.update_role(now, fleet);
    }

    /// Handles the early release of a vote; if the record names no other leader, this instance may
    /// campaign at once.
    pub fn handle_release(&mut self, release: VoteRelease, now: MonoTime) {
        let successor_named = release.record.leader != release.candidate;
        if release.voter == self.own_id {
            self.voter.release(&release.candidate, release.ballot);
        }
        self.learn_record(release.record, now);
        if !successor_named {
            self.campaign_after = now;
        }
    }

    /// Ends the pending write: `record` is in the store.
    pub fn record_written(&mut self, record: PartRecord, now: MonoTime) {
        self.write_pending = false;
        self.learn_record(record, now);
    }

    /// Ends the pending write, which can no longer take effect.
    pub fn write_failed(&mut self) {
        self.write_pending = false;
    }

    /// Advances to `now`: renews the lease, campaigns, steps down, or starts a write.
    pub fn tick(&mut self, now: MonoTime, fleet: &FleetView) {
        self.update_role(now, fleet);
        match &self.role {
            ElectionRole::Leader { .. } => self.request_votes(),
            ElectionRole::Follower if self.may_campaign(now) => {
                self.role = ElectionRole::Candidate { since: now };
                self.request_votes();
                self.update_role(now, fleet);
            }
            ElectionRole::Candidate { .. } if self.may_campaign(now) => self.request_votes(),
            ElectionRole::Candidate { .. } => self.role = ElectionRole::Follower,
            ElectionRole::Follower => {}
        }
        if !self.write_pending
            && let Some(record) = self.next_record(now, fleet)
        {
            self.write_pending = true;
            self.steps.push(ElectionStep::Write(record));
        }
    }

    /// Starts to write a record changed by `change`.
    ///
    /// Returns false without a write unless this instance leads under the latest record, is not
    /// frozen, and has no other write pending.
    pub fn change_record(&mut self, now: MonoTime, change: impl FnOnce(&mut PartRecord)) -> bool {
        let in_force = self.authority(now).is_some_and(|authority| {
            !authority.frozen && authority.record.edition == self.record.edition
        });
        if !in_force || self.write_pending {
            return false;
        }
        let mut next = RecordBuilder::after_activated(&self.record).build();
        change(&mut next);
        self.write_pending = true;
        self.steps.push(ElectionStep::Write(next));
        true
    }
}
