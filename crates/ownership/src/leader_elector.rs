//! Leadership of one part, as seen by one instance.
//!
//! The instance lends its own loan, and seeks or holds those of the part's trio. It may give orders
//! while a majority of the trio of the record that it acts on lends to it. A newer record comes into
//! force once a majority of its own trio and of each former trio lends while knowing it.

use crate::prelude::*;

/// One instance's view of a part's leadership.
#[derive(Clone, Debug)]
pub struct LeaderElector {
    pub(crate) me: InstanceId,
    pub(crate) timing: TimingSettings,
    pub(crate) voter: VoterState,
    pub(crate) record: PartRecord,
    pub(crate) activated_edition: u64,
    pub(crate) role: ElectionRole,
    pub(crate) votes: VoteTally,
    pub(crate) known: IndexMap<InstanceId, u64>,
    pub(crate) ballot: (u64, u32),
    pub(crate) min_ballot: (u64, u32),
    pub(crate) highest_seen: (u64, u32),
    pub(crate) seek_after: MonoTime,
    pub(crate) leaving: bool,
    pub(crate) writing: bool,
    pub(crate) steps: Vec<ElectionStep>,
}

#[derive(Clone, Debug)]
pub(crate) enum ElectionRole {
    Follower,
    Candidate { since: MonoTime },
    Leader { authority: Box<LeaderAuthority> },
}

impl LeaderElector {
    /// Time without a majority after which a surviving member writes a new trio.
    pub const SLOW_PATH: Duration = Duration::from_secs(1);

    /// View of the part of `record` by the run `me` that began at `started`.
    pub fn new(
        me: &InstanceId,
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
            me: me.clone(),
            timing,
            voter: VoterState::new(me, started, &timing),
            activated_edition,
            role: ElectionRole::Follower,
            votes: VoteTally::default(),
            known: IndexMap::new(),
            ballot: (0, 0),
            min_ballot: (0, 0),
            highest_seen: (0, 0),
            seek_after: MonoTime::default(),
            leaving: false,
            writing: false,
            steps: Vec::new(),
            record,
        };
        elector.give_leader_time(now);
        elector
    }

    /// Latest record known.
    pub fn record(&self) -> &PartRecord {
        &self.record
    }

    /// Authority at `now`.
    pub fn authority(&self, now: MonoTime) -> Option<&LeaderAuthority> {
        match &self.role {
            ElectionRole::Leader { authority } if authority.until > now => Some(authority),
            _ => None,
        }
    }

    /// Instance that holds this instance's loan.
    pub fn voted_for(&self, now: MonoTime) -> Option<&InstanceId> {
        self.voter.holder(now)
    }

    /// Whether steps should be taken sooner than at the next heartbeat.
    pub fn is_due(&self, now: MonoTime) -> bool {
        match self.role {
            ElectionRole::Follower => self.may_seek(now),
            ElectionRole::Candidate { .. } => true,
            ElectionRole::Leader { .. } => false,
        }
    }

    /// Whether the part is sought.
    pub fn is_candidate(&self) -> bool {
        matches!(self.role, ElectionRole::Candidate { .. })
    }

    /// Messages and writes that are due.
    pub fn take_steps(&mut self) -> Vec<ElectionStep> {
        std::mem::take(&mut self.steps)
    }

    /// Lets others lead from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Gives the part up at once, so that a standby takes it over without a written record.
    pub fn release(&mut self) {
        if matches!(self.role, ElectionRole::Leader { .. }) {
            let trio = self.record.members();
            self.give_back(&trio);
        }
    }

    /// Takes in a record that the store holds or held.
    pub fn learn_record(&mut self, record: PartRecord, now: MonoTime) {
        if record.edition <= self.record.edition {
            return;
        }
        let superseded = match &self.role {
            ElectionRole::Leader { authority } => {
                record.term > authority.record.term && record.leader != self.me
            }
            ElectionRole::Follower | ElectionRole::Candidate { .. } => false,
        };
        let former = self.record.members();
        self.record = record;
        if superseded {
            self.give_back(&former);
        }
        self.give_leader_time(now);
        if self.is_candidate() {
            self.role = ElectionRole::Follower;
        }
    }

    /// Answers a request for this instance's loan.
    pub fn handle_request(&mut self, request: VoteRequest, now: MonoTime) -> VoteReply {
        if let Some(record) = request.record.clone() {
            self.learn_record(record, now);
        }
        self.activated_edition = self.activated_edition.max(request.activated_edition);
        let preferred =
            self.is_candidate() && self.rank_of(&self.me) < self.rank_of(&request.candidate);
        let outcome = match preferred {
            true => VoteOutcome::HeldByOther(self.timing.heartbeat),
            false => self
                .voter
                .vote(&request, self.record.edition, now, &self.timing),
        };
        VoteReply {
            part: request.part,
            voter: self.me.clone(),
            outcome,
            highest_ballot: self.voter.highest_ballot(),
            edition: self.record.edition,
            activated_edition: self.activated_edition,
            record: (request.edition < self.record.edition).then(|| self.record.clone()),
        }
    }

    /// Takes in the answer to `request`, which was sent at `asked`.
    pub fn handle_reply(
        &mut self,
        request: &VoteRequest,
        reply: VoteReply,
        asked: MonoTime,
        now: MonoTime,
        fleet: &FleetView,
    ) {
        if let Some(record) = reply.record {
            self.learn_record(record, now);
        }
        self.activated_edition = self.activated_edition.max(reply.activated_edition);
        self.highest_seen = self.highest_seen.max(reply.highest_ballot);
        self.known.insert(request.voter.clone(), reply.edition);
        let ballot = (request.term, request.round);
        if let VoteOutcome::Granted(span) = reply.outcome
            && ballot >= self.min_ballot
            && reply.voter == request.voter
        {
            let until = asked.after(self.timing.shortened_by_drift(span));
            self.votes
                .note(&request.voter, until, reply.edition, ballot);
        }
        if let VoteOutcome::HeldByOther(left) = reply.outcome
            && self.is_candidate()
        {
            self.seek_after = now.after(left.min(self.timing.lease));
            self.role = ElectionRole::Follower;
        }
        self.settle(now, fleet);
    }

    /// Takes back a loan that its elector no longer needs.
    pub fn handle_release(&mut self, release: VoteRelease, now: MonoTime) {
        let successor_named = release.record.leader != release.candidate;
        if release.voter == self.me {
            self.voter.release(&release.candidate, release.ballot);
        }
        self.learn_record(release.record, now);
        if !successor_named {
            self.seek_after = now;
        }
    }

    /// Notes that the record of the last write is in the store.
    pub fn record_written(&mut self, record: PartRecord, now: MonoTime) {
        self.writing = false;
        self.learn_record(record, now);
    }

    /// Notes that the last write can no longer take effect.
    pub fn write_failed(&mut self) {
        self.writing = false;
    }

    /// Moves on with time: renews, seeks, steps down, or plans a write.
    pub fn tick(&mut self, now: MonoTime, fleet: &FleetView) {
        self.settle(now, fleet);
        match &self.role {
            ElectionRole::Leader { .. } => self.request_votes(),
            ElectionRole::Follower if self.may_seek(now) => {
                self.role = ElectionRole::Candidate { since: now };
                self.request_votes();
                self.settle(now, fleet);
            }
            ElectionRole::Candidate { .. } if self.may_seek(now) => self.request_votes(),
            ElectionRole::Candidate { .. } => self.role = ElectionRole::Follower,
            ElectionRole::Follower => {}
        }
        if !self.writing
            && let Some(record) = self.next_record(now, fleet)
        {
            self.writing = true;
            self.steps.push(ElectionStep::Write(record));
        }
    }

    /// Writes a record with changed slices, if none is being written and the latest is in force.
    pub fn change_record(&mut self, now: MonoTime, change: impl FnOnce(&mut PartRecord)) -> bool {
        let in_force = self.authority(now).is_some_and(|authority| {
            !authority.frozen && authority.record.edition == self.record.edition
        });
        if !in_force || self.writing {
            return false;
        }
        let mut next = RecordPlan::after(&self.record).record();
        change(&mut next);
        self.writing = true;
        self.steps.push(ElectionStep::Write(next));
        true
    }
}
