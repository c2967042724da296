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

#[derive(Clone, Debug, Default)]
struct ServerGrants {
    clock: Option<ServerClock>,
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
    accepted: bool,
}

impl SentOrder {
    fn covers(&self, range: &SliceRange) -> bool {
        self.ranges.iter().any(|granted| granted.overlaps(range))
    }
}

impl GrantTable {
    /// Lets grants of an earlier holder count until `until`.
    pub fn inherit(&mut self, until: MonoTime) {
        self.inherited_until = self.inherited_until.max(until);
    }

    /// Notes an order for `ranges` that is about to be sent and stands until `deadline`; gives its
    /// number and the deadline on the server's clock, none while that clock is unknown.
    pub fn send(
        &mut self,
        server: &ServerName,
        ranges: Vec<SliceRange>,
        now: MonoTime,
        deadline: MonoTime,
        timing: &TimingPlan,
    ) -> Option<(u64, MonoTime)> {
        let grants = self.grants.entry(server.clone()).or_default();
        let not_after = grants.clock?.no_later_than(deadline, timing);
        grants.orders.retain(|order| order.deadline > now);
        grants.next += 1;
        grants.orders.push(SentOrder {
            number: grants.next,
            ranges,
            sent: now,
            deadline,
            answered: None,
            accepted: false,
        });
        Some((grants.next, not_after))
    }

    /// Notes a reading of the clock of `server`.
    pub fn heard(&mut self, server: &ServerName, clock: ServerClock) {
        self.grants.entry(server.clone()).or_default().clock = Some(clock);
    }

    /// Notes that `server` answered the order `number`.
    pub fn answered(&mut self, server: &ServerName, number: u64, accepted: bool, now: MonoTime) {
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
        order.accepted = true;
        let sent = order.sent;
        grants
            .orders
            .retain(|order| order.answered.is_none_or(|answered| answered > sent));
    }

    /// Notes that the order `number` never left.
    pub fn unsent(&mut self, server: &ServerName, number: u64) {
        if let Some(grants) = self.grants.get_mut(server) {
            grants.orders.retain(|order| order.number != number);
        }
    }

    /// Whether an order to `server` has waited for its answer for longer than `patience`.
    pub fn is_silent(&self, server: &ServerName, now: MonoTime, patience: Duration) -> bool {
        self.grants.get(server).is_some_and(|grants| {
            grants
                .orders
                .iter()
                .any(|order| order.answered.is_none() && now.since(order.sent) > patience)
        })
    }

    /// Our reading until which `server` surely may serve `hash`.
    pub fn stands_until(&self, server: &ServerName, hash: KeyHash) -> Option<MonoTime> {
        let point = SliceRange {
            start: hash.0,
            end: hash.0,
        };
        let order = self.last_accepted(server)?;
        order.covers(&point).then_some(order.deadline)
    }

    /// Our reading until which `server` surely holds any grant.
    pub fn any_stands_until(&self, server: &ServerName) -> Option<MonoTime> {
        self.last_accepted(server).map(|order| order.deadline)
    }

    fn last_accepted(&self, server: &ServerName) -> Option<&SentOrder> {
        let orders = &self.grants.get(server)?.orders;
        orders.iter().rev().find(|order| order.accepted)
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
