//! Until when the former leaders of a service's keys may send orders.
//!
//! A leader sends orders for a bounded time after the store last named it. An instance that reads
//! that a leader was replaced therefore knows an end of its orders, on its own clock. That end holds
//! however often the leader changes afterwards.

use crate::prelude::*;

/// Former leaders that a key record names, and the time at which each has certainly stopped.
#[derive(Clone, Debug, Default)]
pub struct FormerLeaders {
    /// Term of the last record.
    term: u64,
    /// Leader that the last record names.
    leader: Option<InstanceIncarnation>,
    ends: IndexMap<InstanceIncarnation, MonoTime>,
}

impl FormerLeaders {
    /// Takes over the list of a newer record. Leaders that are not known to have been replaced
    /// earlier stop at `latest_end`.
    pub fn adopt(&mut self, record: &KeyRecord, latest_end: MonoTime) {
        let has_led_since =
            |former: &InstanceIncarnation| match record.term - self.term.min(record.term) {
                0 => false,
                1 => self.leader.as_ref() == Some(former),
                // Any of them may have led again in a term that this instance has not read of.
                _ => true,
            };
        let mut ends = IndexMap::new();
        for former in &record.former {
            let known = self.ends.get(former).filter(|_| !has_led_since(former));
            ends.insert(former.clone(), known.copied().unwrap_or(latest_end));
        }
        *self = Self {
            term: record.term,
            leader: Some(record.leader.clone()),
            ends,
        };
    }

    /// Records that a leader sends no orders from `end` on.
    pub fn record_end(&mut self, leader: &InstanceIncarnation, end: MonoTime) {
        if let Some(known) = self.ends.get_mut(leader) {
            *known = end.min(*known);
        }
    }

    /// Leaders that may still send orders.
    pub fn active(&self, now: MonoTime) -> Vec<InstanceIncarnation> {
        let ends = self.ends.iter();
        let active = ends.filter(|(_, end)| now < **end);
        active.map(|(leader, _)| leader.clone()).collect()
    }

    /// Time from which none of them sends orders; `None` if there are none.
    pub fn orders_until(&self) -> Option<MonoTime> {
        self.ends.values().copied().max()
    }
}
