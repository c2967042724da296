//! Leadership of one part, as seen by one instance.
//!
//! The instance lends its own loan, and seeks or holds those of the part's trio. It may give orders
//! while a majority of the trio of the record that it acts on lends to it. A newer record comes into
//! force once a majority of its own trio and of each former trio lends while knowing it.

use crate::prelude::*;

/// One instance's view of a part's leadership.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    pub(crate) me: InstanceId,
    pub(crate) timing: TimingPlan,
    pub(crate) table: LoanTable,
    pub(crate) record: PartRecord,
    pub(crate) sealed: u64,
    pub(crate) role: HolderRole,
    pub(crate) loans: HeldLoans,
    pub(crate) known: IndexMap<InstanceId, u64>,
    pub(crate) claim: (u64, u32),
    pub(crate) floor: (u64, u32),
    pub(crate) seen: (u64, u32),
    pub(crate) seek_after: MonoTime,
    pub(crate) leaving: bool,
    pub(crate) writing: bool,
    pub(crate) steps: Vec<LeaseStep>,
}

#[derive(Clone, Debug)]
pub(crate) enum HolderRole {
    Idle,
    Seeking { since: MonoTime },
    Holding { lead: Box<LeadState> },
}

impl LeaseHolder {
    /// Time without a majority after which a surviving member writes a new trio.
    pub const SLOW_PATH: Duration = Duration::from_secs(1);

    /// View of the part of `record` by the run `me` that began at `started`.
    pub fn new(
        me: &InstanceId,
        record: PartRecord,
        started: MonoTime,
        now: MonoTime,
        timing: TimingPlan,
    ) -> Self {
        let sealed = match record.edition {
            1 => 1,
            _ => 0,
        };
        let mut holder = Self {
            me: me.clone(),
            timing,
            table: LoanTable::new(me, started, &timing),
            sealed,
            role: HolderRole::Idle,
            loans: HeldLoans::default(),
            known: IndexMap::new(),
            claim: (0, 0),
            floor: (0, 0),
            seen: (0, 0),
            seek_after: MonoTime::default(),
            leaving: false,
            writing: false,
            steps: Vec::new(),
            record,
        };
        holder.give_leader_time(now);
        holder
    }

    /// Latest record known.
    pub fn record(&self) -> &PartRecord {
        &self.record
    }

    /// Authority at `now`.
    pub fn lead(&self, now: MonoTime) -> Option<&LeadState> {
        match &self.role {
            HolderRole::Holding { lead } if lead.until > now => Some(lead),
            _ => None,
        }
    }

    /// Instance that holds this instance's loan.
    pub fn lent_to(&self, now: MonoTime) -> Option<&InstanceId> {
        self.table.holder(now)
    }

    /// Whether steps should be taken sooner than at the next heartbeat.
    pub fn is_due(&self, now: MonoTime) -> bool {
        match self.role {
            HolderRole::Idle => self.may_seek(now),
            HolderRole::Seeking { .. } => true,
            HolderRole::Holding { .. } => false,
        }
    }

    /// Whether the part is sought.
    pub fn is_seeking(&self) -> bool {
        matches!(self.role, HolderRole::Seeking { .. })
    }

    /// Messages and writes that are due.
    pub fn take_steps(&mut self) -> Vec<LeaseStep> {
        std::mem::take(&mut self.steps)
    }

    /// Lets others lead from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Gives the part up at once, so that a standby takes it over without a written record.
    pub fn release(&mut self) {
        if matches!(self.role, HolderRole::Holding { .. }) {
            let trio = self.record.members();
            self.give_back(&trio);
        }
    }

    /// Takes in a record that the store holds or held.
    pub fn learn(&mut self, record: PartRecord, now: MonoTime) {
        if record.edition <= self.record.edition {
            return;
        }
        let superseded = match &self.role {
            HolderRole::Holding { lead } => {
                record.term > lead.record.term && record.leader != self.me
            }
            HolderRole::Idle | HolderRole::Seeking { .. } => false,
        };
        let former = self.record.members();
        self.record = record;
        if superseded {
            self.give_back(&former);
        }
        self.give_leader_time(now);
        if self.is_seeking() {
            self.role = HolderRole::Idle;
        }
    }

    /// Answers a request for this instance's loan.
    pub fn answer(&mut self, ask: LoanAsk, now: MonoTime) -> LoanReply {
        if let Some(record) = ask.record.clone() {
            self.learn(record, now);
        }
        self.sealed = self.sealed.max(ask.sealed);
        let preferred = self.is_seeking() && self.rank_of(&self.me) < self.rank_of(&ask.holder);
        let verdict = match preferred {
            true => LoanVerdict::Held(self.timing.heartbeat),
            false => self
                .table
                .lend(&ask, self.record.edition, now, &self.timing),
        };
        LoanReply {
            part: ask.part,
            lender: self.me.clone(),
            verdict,
            highest: self.table.highest(),
            edition: self.record.edition,
            sealed: self.sealed,
            record: (ask.edition < self.record.edition).then(|| self.record.clone()),
        }
    }

    /// Takes in the answer to `ask`, which was sent at `asked`.
    pub fn replied(
        &mut self,
        ask: &LoanAsk,
        reply: LoanReply,
        asked: MonoTime,
        now: MonoTime,
        fleet: &FleetView,
    ) {
        if let Some(record) = reply.record {
            self.learn(record, now);
        }
        self.sealed = self.sealed.max(reply.sealed);
        self.seen = self.seen.max(reply.highest);
        self.known.insert(ask.lender.clone(), reply.edition);
        let claim = (ask.term, ask.round);
        if let LoanVerdict::Lent(span) = reply.verdict
            && claim >= self.floor
            && reply.lender == ask.lender
        {
            let until = asked.after(self.timing.shortened(span));
            self.loans.note(&ask.lender, until, reply.edition, claim);
        }
        if let LoanVerdict::Held(left) = reply.verdict
            && self.is_seeking()
        {
            self.seek_after = now.after(left.min(self.timing.lease));
            self.role = HolderRole::Idle;
        }
        self.settle(now, fleet);
    }

    /// Takes back a loan that its holder no longer needs.
    pub fn returned(&mut self, notice: LoanReturn, now: MonoTime) {
        let successor_named = notice.record.leader != notice.holder;
        if notice.lender == self.me {
            self.table.returned(&notice.holder, notice.claim);
        }
        self.learn(notice.record, now);
        if !successor_named {
            self.seek_after = now;
        }
    }

    /// Notes that the record of the last write is in the store.
    pub fn wrote(&mut self, record: PartRecord, now: MonoTime) {
        self.writing = false;
        self.learn(record, now);
    }

    /// Notes that the last write can no longer take effect.
    pub fn write_failed(&mut self) {
        self.writing = false;
    }

    /// Moves on with time: renews, seeks, steps down, or plans a write.
    pub fn tick(&mut self, now: MonoTime, fleet: &FleetView) {
        self.settle(now, fleet);
        match &self.role {
            HolderRole::Holding { .. } => self.ask_all(),
            HolderRole::Idle if self.may_seek(now) => {
                self.role = HolderRole::Seeking { since: now };
                self.ask_all();
                self.settle(now, fleet);
            }
            HolderRole::Seeking { .. } if self.may_seek(now) => self.ask_all(),
            HolderRole::Seeking { .. } => self.role = HolderRole::Idle,
            HolderRole::Idle => {}
        }
        if !self.writing
            && let Some(record) = self.next_record(now, fleet)
        {
            self.writing = true;
            self.steps.push(LeaseStep::Write(record));
        }
    }

    /// Writes a record with changed slices, if none is being written and the latest is in force.
    pub fn change(&mut self, now: MonoTime, change: impl FnOnce(&mut PartRecord)) -> bool {
        let in_force = self
            .lead(now)
            .is_some_and(|lead| !lead.frozen && lead.record.edition == self.record.edition);
        if !in_force || self.writing {
            return false;
        }
        let mut next = RecordPlan::after(&self.record).record();
        change(&mut next);
        self.writing = true;
        self.steps.push(LeaseStep::Write(next));
        true
    }
}
