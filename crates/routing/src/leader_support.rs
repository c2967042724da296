//! Support of a leader of keys by other instances, on which it goes on while the store does not
//! confirm it.
//!
//! The record names the supporters. A leader whose successor has written itself into the record
//! loses them one by one as they read of it. The successor knows that it has stopped once too few of
//! them are left, without a word from the leader itself.

use crate::prelude::*;

/// Support that a leader has received in its term.
#[derive(Clone, Debug, Default)]
pub struct LeaderSupport {
    /// Latest time, on the leader's clock, at which each instance certainly took it for the leader.
    recorded: IndexMap<InstanceIncarnation, MonoTime>,
    /// Supporters of records sent to the store whose outcome is not known.
    pending: Vec<Vec<InstanceIncarnation>>,
}

impl LeaderSupport {
    /// Number of supporters, out of `count`, that a leader needs to have a majority with itself.
    pub fn needed(count: usize) -> usize {
        count.div_ceil(2)
    }

    /// Records that an instance took this one for the leader at `at`.
    pub fn record(&mut self, supporter: &InstanceIncarnation, at: MonoTime) {
        match self.recorded.get_mut(supporter) {
            Some(known) => *known = at.max(*known),
            None => {
                self.recorded.insert(supporter.clone(), at);
            }
        }
    }

    /// Records that a record with these supporters is about to be sent to the store, which may be
    /// the one that a successor replaces.
    pub fn begin_write(&mut self, supporters: &[InstanceIncarnation]) {
        self.pending.push(supporters.to_vec());
    }

    /// Forgets the writes, since a newer record is known and the store rejects them.
    pub fn forget_writes(&mut self) {
        self.pending.clear();
    }

    /// Whether enough of the supporters, and of those in each pending write, have taken this instance
    /// for the leader since `since`.
    pub fn suffices(&self, supporters: &[InstanceIncarnation], since: MonoTime) -> bool {
        let is_enough = |supporters: &[InstanceIncarnation]| {
            let recent = supporters
                .iter()
                .filter(|supporter| self.recorded.get(*supporter).is_some_and(|at| *at >= since));
            recent.count() >= Self::needed(supporters.len())
        };
        is_enough(supporters) && self.pending.iter().all(|pending| is_enough(pending))
    }

    /// Instances that have taken this one for the leader since `since`.
    pub fn recorded_since(&self, since: MonoTime) -> Vec<&InstanceIncarnation> {
        let recent = self.recorded.iter().filter(|(_, at)| **at >= since);
        recent.map(|(supporter, _)| supporter).collect()
    }
}

impl KeyLeader {
    /// Records that the store, asked at `asked_at`, named this instance as the leader. That says nothing
    /// while the store lacks the record that this instance knows.
    pub fn confirm_leadership(&mut self, asked_at: MonoTime) {
        if self.needs_restore() {
            return;
        }
        self.confirmed_at = Some(self.confirmed_at.map_or(asked_at, |at| at.max(asked_at)));
    }

    /// When the store was asked that last confirmed this instance as the leader; `None` if it never did.
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        self.confirmed_at
    }

    /// Time since the store last confirmed this instance as the leader; `Duration::MAX` if it never
    /// did.
    pub fn confirmation_age(&self, now: MonoTime) -> Duration {
        self.confirmed_at.map_or(Duration::MAX, |at| now.since(at))
    }
}
