//! How a holder's loans turn into authority, and which requests keep it.

use crate::{lease_holder::HolderRole, prelude::*};

impl LeaseHolder {
    /// Brings the role in line with the loans held at `now`.
    pub(crate) fn settle(&mut self, now: MonoTime, fleet: &FleetView) {
        if matches!(self.role, HolderRole::Idle) {
            return;
        }
        self.renew_own(now, fleet);
        let acting = match &self.role {
            HolderRole::Holding { lead } => Some(LeadState::clone(lead)),
            HolderRole::Idle | HolderRole::Seeking { .. } => None,
        };
        let claim = match acting {
            Some(_) => (0, 0),
            None => self.claim,
        };
        let full = self.full_until(&self.record, claim, fleet);
        let frozen = self.trio_until(&self.record, claim);
        let older = acting
            .as_ref()
            .filter(|lead| !lead.frozen)
            .map_or(MonoTime::default(), |lead| {
                self.trio_until(&lead.record, claim)
            });
        if full > now {
            self.sealed = self.sealed.max(self.record.edition);
            self.hold(full, false);
        } else if older > now {
            let mut lead = acting.expect("an older record is acted on");
            lead.until = older;
            self.role = HolderRole::Holding {
                lead: Box::new(lead),
            };
        } else if frozen > now {
            self.hold(frozen, true);
        } else if acting.is_some() {
            self.step_down(now);
        }
    }

    fn hold(&mut self, until: MonoTime, frozen: bool) {
        let round = match &self.role {
            HolderRole::Holding { lead }
                if lead.record.term == self.record.term
                    && self.trio_until(&self.record, self.claim) < until =>
            {
                lead.round
            }
            _ if self.claim.0 == self.record.term => self.claim.1,
            _ => 0,
        };
        let lead = LeadState {
            record: self.record.clone(),
            round,
            until,
            frozen,
        };
        self.role = HolderRole::Holding {
            lead: Box::new(lead),
        };
    }

    fn step_down(&mut self, now: MonoTime) {
        self.role = HolderRole::Idle;
        self.loans.clear();
        self.give_up_claim();
        self.seek_after = now;
    }

    fn give_up_claim(&mut self) {
        self.table.returned(&self.me, self.table.highest());
        self.seen = self.seen.max(self.claim);
        self.floor = (self.claim.0, self.claim.1 + 1);
    }

    pub(crate) fn give_back(&mut self, former: &[InstanceId]) {
        let mut told = former.to_vec();
        told.extend(self.record.members());
        told.sort();
        told.dedup();
        for to in told.into_iter().filter(|id| *id != self.me) {
            let notice = LoanReturn {
                part: self.record.id.clone(),
                lender: to.clone(),
                holder: self.me.clone(),
                claim: self.claim,
                record: self.record.clone(),
            };
            self.steps.push(LeaseStep::Return { to, notice });
        }
        self.role = HolderRole::Idle;
        self.loans.clear();
        self.give_up_claim();
    }

    /// Lends this instance's own loan to itself where that keeps or gives authority.
    fn renew_own(&mut self, now: MonoTime, fleet: &FleetView) {
        let ask = self.ask(&self.me.clone());
        if !self.holds() {
            let mut with_own = self.clone();
            with_own.note_own(&ask, now);
            let record = &self.record;
            let gained = with_own
                .trio_until(record, self.claim)
                .max(with_own.full_until(record, self.claim, fleet));
            if gained <= now {
                return;
            }
        }
        self.note_own(&ask, now);
    }

    fn holds(&self) -> bool {
        matches!(self.role, HolderRole::Holding { .. })
    }

    fn note_own(&mut self, ask: &LoanAsk, now: MonoTime) {
        let verdict = self.table.lend(ask, self.record.edition, now, &self.timing);
        if let LoanVerdict::Lent(span) = verdict {
            let until = now.after(self.timing.shortened(span));
            self.loans
                .note(&ask.lender, until, self.record.edition, self.claim);
        }
    }

    /// Our reading until which the trio of `record` lends.
    fn trio_until(&self, record: &PartRecord, claim: (u64, u32)) -> MonoTime {
        self.loans
            .majority_until(&record.members(), record.edition, claim, |_| false)
    }

    /// Our reading until which the trio of `record` and all that must agree with it lend.
    fn full_until(&self, record: &PartRecord, claim: (u64, u32), fleet: &FleetView) -> MonoTime {
        let own = self.trio_until(record, claim);
        if self.sealed >= record.edition {
            return own;
        }
        record
            .former_members
            .iter()
            .map(|trio| {
                self.loans
                    .majority_until(trio, record.edition, claim, |id| fleet.is_gone(id))
            })
            .fold(own, MonoTime::min)
    }

    /// Asks every member whose loan counts.
    pub(crate) fn ask_all(&mut self) {
        self.claim = self.next_claim();
        let mut members = self.record.members();
        if self.sealed < self.record.edition {
            members.extend(self.record.former_members.iter().flatten().cloned());
        }
        if let HolderRole::Holding { lead } = &self.role {
            members.extend(lead.record.members());
        }
        members.sort();
        members.dedup();
        members.retain(|member| *member != self.me);
        for member in members {
            let ask = self.ask(&member);
            self.steps.push(LeaseStep::Ask(ask));
        }
    }

    fn ask(&self, lender: &InstanceId) -> LoanAsk {
        let knows = self.known.get(lender).copied().unwrap_or_default();
        LoanAsk {
            part: self.record.id.clone(),
            lender: lender.clone(),
            holder: self.me.clone(),
            term: self.claim.0,
            round: self.claim.1,
            edition: self.record.edition,
            sealed: self.sealed,
            record: (knows < self.record.edition).then(|| self.record.clone()),
        }
    }

    fn next_claim(&self) -> (u64, u32) {
        let term = self.record.term;
        let highest = self.table.highest().max(self.seen);
        let mine = self.table.last_was(&self.me, highest) && self.claim >= self.seen;
        match highest.0 == term {
            true if mine => self.claim.max((term, 0)),
            true if self.claim >= highest && self.holds() => self.claim,
            true if self.claim > highest => self.claim,
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
            && !self.table.lent_to_other(&self.me, now)
            && now
                >= self
                    .seek_after
                    .max(self.table.until().after(self.stagger()))
    }

    /// Lets the leader on record go first.
    pub(crate) fn give_leader_time(&mut self, now: MonoTime) {
        self.seek_after = match self.record.leader == self.me {
            true => now,
            false => now.after(self.timing.lengthened(self.timing.lease)),
        };
    }
}
