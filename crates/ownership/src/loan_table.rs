//! A trio member's loans of one part: to one holder at a time.

use crate::prelude::*;

/// Who holds this instance's loan of a part, and until when.
#[derive(Clone, Debug)]
pub struct LoanTable {
    me: InstanceId,
    ready_at: MonoTime,
    holder: Option<InstanceId>,
    until: MonoTime,
    highest: (u64, u32),
}

impl LoanTable {
    /// Table of a run that began at `started`: nothing is lent before a whole lease has passed.
    pub fn new(me: &InstanceId, started: MonoTime, timing: &TimingPlan) -> Self {
        Self {
            me: me.clone(),
            ready_at: started.after(timing.lengthened(timing.lease)),
            holder: None,
            until: MonoTime::default(),
            highest: (0, 0),
        }
    }

    /// Decides on a request; `known` is the edition of the latest record known here.
    pub fn lend(
        &mut self,
        ask: &LoanAsk,
        known: u64,
        now: MonoTime,
        timing: &TimingPlan,
    ) -> LoanVerdict {
        if ask.lender != self.me || now < self.ready_at {
            return LoanVerdict::NotReady;
        }
        let claim = (ask.term, ask.round);
        let renewed = claim == self.highest && self.holder.as_ref() == Some(&ask.holder);
        if ask.edition < known || (claim <= self.highest && !renewed) {
            return LoanVerdict::Behind;
        }
        if self.lent_to_other(&ask.holder, now) {
            return LoanVerdict::Held(self.until.since(now));
        }
        self.highest = claim;
        self.holder = Some(ask.holder.clone());
        self.until = self.until.max(now.after(timing.lengthened(timing.lease)));
        LoanVerdict::Lent(timing.lease)
    }

    /// Takes a loan back early; a late copy of its request gets nothing.
    pub fn returned(&mut self, holder: &InstanceId, claim: (u64, u32)) {
        if self.last_was(holder, claim) {
            self.holder = None;
            self.until = MonoTime::default();
        }
    }

    /// Whether an instance other than `holder` holds the loan.
    pub fn lent_to_other(&self, holder: &InstanceId, now: MonoTime) -> bool {
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
    pub fn highest(&self) -> (u64, u32) {
        self.highest
    }

    /// Whether `holder` was the last to hold the loan, at this term and round.
    pub fn last_was(&self, holder: &InstanceId, claim: (u64, u32)) -> bool {
        self.highest == claim && self.holder.as_ref() == Some(holder)
    }
}
