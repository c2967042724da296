//! The grants that the leader of a part has sent to its servers.
//!
//! A server may hold a grant until the deadline of its order, or until it has accepted a later
//! order that was sent after it had answered the earlier one.

use crate::prelude::*;

/// Orders sent for one part, by server.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    grants: IndexMap<ServerName, ServerGrants>,
    inherited_until: MonoTime,
}

/// Next message to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantStep {
    /// Send nothing now.
    Wait,
    /// Request the time on the server's clock.
    ReadClock,
    /// Send a grant.
    Send {
        /// Number of the order, for [`GrantTable::record_answer`].
        number: u64,
        /// Time on the server's clock from which the grant is no longer valid.
        not_after: MonoTime,
        /// All ranges that the server may serve.
        ranges: Vec<SliceRange>,
    },
}

#[derive(Clone, Debug, Default)]
struct ServerGrants {
    clock: Option<ServerClock>,
    last_heard: MonoTime,
    clock_requested_at: Option<MonoTime>,
    orders: Vec<SentOrder>,
    last_number: u64,
}

#[derive(Clone, Debug)]
struct SentOrder {
    number: u64,
    ranges: Vec<SliceRange>,
    sent_at: MonoTime,
    deadline: MonoTime,
    answered_at: Option<MonoTime>,
}

impl SentOrder {
    fn covers(&self, range: &SliceRange) -> bool {
        self.ranges.iter().any(|granted| granted.overlaps(range))
    }
}

impl GrantTable {
    /// Assumes until `until` that grants of an earlier leader may be valid.
    pub fn inherit_until(&mut self, until: MonoTime) {
        self.inherited_until = self.inherited_until.max(until);
    }

    /// Returns the next message to `server`, which may be granted `ranges` until `deadline`.
    ///
    /// A server that does not answer is only asked for its clock, so that its grants expire.
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
        let unresponsive = grants.orders.iter().any(|order| {
            order.answered_at.is_none()
                && order.sent_at > grants.last_heard
                && now.since(order.sent_at) > timing.grant_renewal
        });
        let clock = grants.clock.filter(|_| !unresponsive && deadline > now);
        let Some(clock) = clock else {
            if !due(grants.clock_requested_at) {
                return GrantStep::Wait;
            }
            grants.clock_requested_at = Some(now);
            return GrantStep::ReadClock;
        };
        let last = grants.orders.last();
        if last.is_some_and(|last| last.ranges == ranges && !due(Some(last.sent_at))) {
            return GrantStep::Wait;
        }
        grants.last_number += 1;
        grants.orders.push(SentOrder {
            number: grants.last_number,
            ranges: ranges.clone(),
            sent_at: now,
            deadline,
            answered_at: None,
        });
        GrantStep::Send {
            number: grants.last_number,
            not_after: clock.no_later_than(deadline, timing),
            ranges,
        }
    }

    /// Records a sample of the clock of `server`, which answered at `now`.
    pub fn record_clock(&mut self, server: &ServerName, clock: ServerClock, now: MonoTime) {
        let grants = self.grants.entry(server.clone()).or_default();
        grants.clock = Some(clock);
        grants.last_heard = now;
    }

    /// Records that `server` accepted or rejected the order `number`.
    ///
    /// An accepted order replaces those that were answered before it was sent.
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
        order.answered_at = Some(now);
        let sent_at = order.sent_at;
        grants.orders.retain(|order| {
            order.number == number
                || order
                    .answered_at
                    .is_none_or(|answered_at| answered_at > sent_at)
        });
    }

    /// Removes the order `number`, which was never sent.
    pub fn discard_order(&mut self, server: &ServerName, number: u64) {
        if let Some(grants) = self.grants.get_mut(server) {
            grants.orders.retain(|order| order.number != number);
        }
    }

    /// Time on this instance's clock until which `server` has an accepted grant for `hash`.
    pub fn granted_until(&self, server: &ServerName, hash: KeyHash) -> Option<MonoTime> {
        let point = SliceRange {
            start: hash.0,
            end: hash.0,
        };
        let order = self.last_accepted(server)?;
        order.covers(&point).then_some(order.deadline)
    }

    /// Time on this instance's clock until which `server` has any accepted grant.
    pub fn any_granted_until(&self, server: &ServerName) -> Option<MonoTime> {
        self.last_accepted(server).map(|order| order.deadline)
    }

    fn last_accepted(&self, server: &ServerName) -> Option<&SentOrder> {
        let orders = &self.grants.get(server)?.orders;
        orders
            .iter()
            .rev()
            .find(|order| order.answered_at.is_some())
    }

    /// Whether an order of this leader may still allow `server` to serve any of `range`.
    pub fn may_hold(&self, server: &ServerName, range: &SliceRange, now: MonoTime) -> bool {
        self.grants.get(server).is_some_and(|grants| {
            grants
                .orders
                .iter()
                .any(|order| order.deadline > now && order.covers(range))
        })
    }

    /// Whether no server but `owner` can hold a grant for any of `range`.
    ///
    /// If `owner_changed`, the grants of an earlier leader have to expire first.
    pub fn is_free_for(
        &self,
        owner: &ServerName,
        range: &SliceRange,
        owner_changed: bool,
        now: MonoTime,
    ) -> bool {
        (!owner_changed || now >= self.inherited_until)
            && self
                .grants
                .keys()
                .all(|other| other == owner || !self.may_hold(other, range, now))
    }
}
