//! The grants that one part's leader has given, per server.
//!
//! A server may hold whatever any order sent to it allowed, until that order's deadline, or until it
//! has accepted an order that was sent after the earlier one had been answered.

use crate::prelude::*;

/// Grants of one part.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    grants: IndexMap<ServerName, ServerGrants>,
    inherited_until: MonoTime,
}

/// What to send to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantStep {
    /// Nothing yet.
    Wait,
    /// A question for its clock.
    ReadClock,
    /// A grant.
    Send {
        /// Number of the order.
        number: u64,
        /// Reading of the server's clock from which the grant no longer stands.
        not_after: MonoTime,
        /// Ranges.
        ranges: Vec<SliceRange>,
    },
}

#[derive(Clone, Debug, Default)]
struct ServerGrants {
    clock: Option<ServerClock>,
    heard: MonoTime,
    asked: Option<MonoTime>,
    orders: Vec<SentOrder>,
    next: u64,
}

#[derive(Clone, Debug)]
struct SentOrder {
    number: u64,
    ranges: Vec<SliceRange>,
    sent: MonoTime,
    deadline: MonoTime,
    answered: Option<MonoTime>,
}

impl SentOrder {
    fn covers(&self, range: &SliceRange) -> bool {
        self.ranges.iter().any(|granted| granted.overlaps(range))
    }
}

impl GrantTable {
    /// Lets grants of an earlier holder count until `until`.
    pub fn inherit_until(&mut self, until: MonoTime) {
        self.inherited_until = self.inherited_until.max(until);
    }

    /// Next message to `server`, which may be granted `ranges` until `deadline`; a server that does
    /// not answer is only asked for its clock, so that its grants lapse.
    pub fn next_step(
        &mut self,
        server: &ServerName,
        ranges: Vec<SliceRange>,
        now: MonoTime,
        deadline: MonoTime,
        timing: &TimingSettings,
    ) -> GrantStep {
        let grants = self.grants.entry(server.clone()).or_default();
        grants.orders.retain(|order| order.deadline > now);
        let due = |since: Option<MonoTime>| {
            since.is_none_or(|since| now.since(since) >= timing.grant_renewal)
        };
        let silent = grants.orders.iter().any(|order| {
            order.answered.is_none()
                && order.sent > grants.heard
                && now.since(order.sent) > timing.grant_renewal
        });
        let clock = grants.clock.filter(|_| !silent && deadline > now);
        let Some(clock) = clock else {
            if !due(grants.asked) {
                return GrantStep::Wait;
            }
            grants.asked = Some(now);
            return GrantStep::ReadClock;
        };
        let last = grants.orders.last();
        if last.is_some_and(|last| last.ranges == ranges && !due(Some(last.sent))) {
            return GrantStep::Wait;
        }
        grants.next += 1;
        grants.orders.push(SentOrder {
            number: grants.next,
            ranges: ranges.clone(),
            sent: now,
            deadline,
            answered: None,
        });
        GrantStep::Send {
            number: grants.next,
            not_after: clock.no_later_than(deadline, timing),
            ranges,
        }
    }

    /// Notes a reading of the clock of `server`.
    pub fn record_clock(&mut self, server: &ServerName, clock: ServerClock, now: MonoTime) {
        let grants = self.grants.entry(server.clone()).or_default();
        grants.clock = Some(clock);
        grants.heard = now;
    }

    /// Notes that `server` answered the order `number`.
    pub fn record_answer(
        &mut self,
        server: &ServerName,
        number: u64,
        accepted: bool,
        now: MonoTime,
    ) {
        let Some(grants) = self.grants.get_mut(server) else {
            return;
        };
        let Some(index) = grants
            .orders
            .iter()
            .position(|order| order.number == number)
        else {
            return;
        };
        if !accepted {
            grants.orders.remove(index);
            return;
        }
        let order = &mut grants.orders[index];
        order.answered = Some(now);
        let sent = order.sent;
        grants.orders.retain(|order| {
            order.number == number || order.answered.is_none_or(|answered| answered > sent)
        });
    }

    /// Notes that the order `number` never left.
    pub fn discard_order(&mut self, server: &ServerName, number: u64) {
        if let Some(grants) = self.grants.get_mut(server) {
            grants.orders.retain(|order| order.number != number);
        }
    }

    /// Our reading until which `server` surely may serve `hash`.
    pub fn granted_until(&self, server: &ServerName, hash: KeyHash) -> Option<MonoTime> {
        let point = SliceRange {
            start: hash.0,
            end: hash.0,
        };
        let order = self.last_accepted(server)?;
        order.covers(&point).then_some(order.deadline)
    }

    /// Our reading until which `server` surely holds any grant.
    pub fn any_granted_until(&self, server: &ServerName) -> Option<MonoTime> {
        self.last_accepted(server).map(|order| order.deadline)
    }

    fn last_accepted(&self, server: &ServerName) -> Option<&SentOrder> {
        let orders = &self.grants.get(server)?.orders;
        orders.iter().rev().find(|order| order.answered.is_some())
    }

    /// Whether `server` may still hold a part of `range` through an order of this holder.
    pub fn may_hold(&self, server: &ServerName, range: &SliceRange, now: MonoTime) -> bool {
        self.grants.get(server).is_some_and(|grants| {
            grants
                .orders
                .iter()
                .any(|order| order.deadline > now && order.covers(range))
        })
    }

    /// Whether nobody but `owner` can hold a part of `range`, whose owner changed if `moved`.
    pub fn is_free_for(
        &self,
        owner: &ServerName,
        range: &SliceRange,
        moved: bool,
        now: MonoTime,
    ) -> bool {
        (!moved || now >= self.inherited_until)
            && self
                .grants
                .keys()
                .all(|other| other == owner || !self.may_hold(other, range, now))
    }
}
