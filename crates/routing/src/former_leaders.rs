//! Until when the former leaders of a service's keys may send orders.
//!
//! A leader sends orders for a bounded time after the store last named it. An instance that reads
//! that a leader was replaced therefore knows an end of its orders, on its own clock. That end holds
//! however often the leader changes afterwards.
//!
//! A former leader that needed support has stopped earlier: as soon as so many of its supporters
//! follow a later leader that the others are too few, and their last word has expired.

use crate::prelude::*;

/// Former leaders that a key record names, and the time at which each has certainly stopped.
#[derive(Clone, Debug, Default)]
pub struct FormerLeaders {
    /// Term of the last record.
    term: u64,
    /// Leader that the last record names.
    leader: Option<InstanceIncarnation>,
    states: IndexMap<InstanceIncarnation, FormerState>,
}

/// What is known of one former leader.
#[derive(Clone, Debug)]
struct FormerState {
    end: MonoTime,
    /// Names of the supporters that are not known to follow a later leader.
    supporters: Vec<String>,
    /// Number of supporters that it needed; `None` if it needed no support.
    needed: Option<usize>,
}

impl FormerState {
    fn new(former: &FormerLeader, end: MonoTime) -> Self {
        let supporters = former.supporters.iter();
        let needed = match former.supporters.len() {
            0 => None,
            count => Some(LeaderSupport::needed(count)),
        };
        Self {
            end,
            supporters: supporters
                .map(|instance| instance.instance.clone())
                .collect(),
            needed,
        }
    }
}

impl FormerLeaders {
    /// Takes over the list of a newer record. Leaders that are not known to have been replaced
    /// earlier stop at `latest_end`.
    pub fn adopt(&mut self, record: &KeyRecord, latest_end: MonoTime) {
        let has_led_since = |former: &FormerLeader| match record.term.checked_sub(self.term) {
            Some(0) => false,
            Some(1) => self.leader.as_ref() == Some(&former.leader),
            // Any of them may have led again in a term that this instance has not read of, or that the
            // store has lost.
            _ => true,
        };
        let mut states = IndexMap::new();
        for former in &record.former {
            let known = self.states.get(&former.leader);
            let state = match known.filter(|_| !has_led_since(former)) {
                Some(known) => known.clone(),
                None => FormerState::new(former, latest_end),
            };
            states.insert(former.leader.clone(), state);
        }
        *self = Self {
            term: record.term,
            leader: Some(record.leader.clone()),
            states,
        };
    }

    /// Records that a leader sends no orders from `end` on.
    pub fn record_end(&mut self, leader: &InstanceIncarnation, end: MonoTime) {
        if let Some(state) = self.states.get_mut(leader) {
            state.end = state.end.min(end);
        }
    }

    /// Records that an instance, whichever its incarnation, follows the present leader. What it said
    /// in support of earlier ones has expired at `end`.
    pub fn record_follower(&mut self, instance: &str, end: MonoTime) {
        for state in self.states.values_mut() {
            let before = state.supporters.len();
            state.supporters.retain(|supporter| supporter != instance);
            let is_new = state.supporters.len() < before;
            if is_new
                && state
                    .needed
                    .is_some_and(|needed| state.supporters.len() < needed)
            {
                state.end = state.end.min(end);
            }
        }
    }

    /// Leaders that may still send orders.
    pub fn active(&self, now: MonoTime) -> Vec<InstanceIncarnation> {
        let states = self.states.iter();
        let active = states.filter(|(_, state)| now < state.end);
        active.map(|(leader, _)| leader.clone()).collect()
    }

    /// Time from which none of them sends orders; `None` if there are none.
    pub fn orders_until(&self) -> Option<MonoTime> {
        self.states.values().map(|state| state.end).max()
    }
}
