//! One service's keys as this instance knows them.

use crate::prelude::*;

/// Leadership and record of one service, and the load of its keys.
pub(crate) struct KeyView {
    /// Record and orders.
    pub(crate) leader: KeyLeader,
    /// Since when the record names its leader.
    pub(crate) led_since: MonoTime,
    /// Keys of recent requests, of all instances while this one leads.
    pub(crate) window: SampleWindow,
    /// Keys of requests since the last heartbeat.
    pub(crate) recent: Vec<u16>,
    /// Requests since the last heartbeat.
    pub(crate) recent_total: u32,
    /// Of a leader: changes of the record that were written lately.
    pub(crate) told_deltas: Vec<ToldDelta>,
    /// Ranges on their way that their owners hold already, by first key and fence, and since when.
    pub(crate) granted: IndexMap<(u16, u64), MonoTime>,
}

/// A change that others are told.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ToldDelta {
    /// Revision of the record before it.
    pub(crate) base: u64,
    /// Revision of the record after it.
    pub(crate) revision: u64,
    pub(crate) delta: RecordDelta,
    pub(crate) at: MonoTime,
}

impl KeyView {
    /// Prefix of the records' names.
    pub(crate) const PREFIX: &'static str = "keys.";
    /// Span of the load that moves are planned on.
    const WINDOW: Duration = Duration::from_millis(2_500);
    /// Time for which a change is told.
    const TELL_TIME: Duration = Duration::from_millis(400);
    /// Least time for which a grant is told; longer while the record shows the range on its way.
    const GRANT_TIME: Duration = Duration::from_millis(1_500);
    /// Keys reported in one heartbeat, which has to fit one datagram.
    pub(crate) const MAX_RECENT: usize = 160;

    /// View before anything is known.
    pub(crate) fn new(me: InstanceIncarnation, timing: LeaderTiming) -> Self {
        Self {
            leader: KeyLeader::new(me, timing),
            led_since: MonoTime::default(),
            window: SampleWindow::new(Self::WINDOW),
            recent: Vec::new(),
            recent_total: 0,
            told_deltas: Vec::new(),
            granted: IndexMap::new(),
        }
    }

    /// Counts a request for a key; beyond the bound each new one replaces an earlier one at
    /// random (`draw` from 0 to 1), so that the kept ones stay a fair sample.
    pub(crate) fn count_request(&mut self, key: u16, draw: f64) {
        self.recent_total += 1;
        if self.recent.len() < Self::MAX_RECENT {
            self.recent.push(key);
            return;
        }
        let position = (draw * f64::from(self.recent_total)) as usize;
        if let Some(kept) = self.recent.get_mut(position) {
            *kept = key;
        }
    }

    /// Takes the keys since the last heartbeat.
    pub(crate) fn take_recent(&mut self) -> (Vec<u16>, u32) {
        let total = std::mem::take(&mut self.recent_total);
        (std::mem::take(&mut self.recent), total)
    }

    /// Whether callers' requests for a range go to its owner.
    pub(crate) fn is_served(&self, range: &KeyRange) -> bool {
        range.is_settled() || self.granted.contains_key(&(range.first, range.fence))
    }

    /// Forgets what has been told long enough.
    pub(crate) fn forget_told(&mut self, now: MonoTime) {
        self.told_deltas
            .retain(|told| now.since(told.at) < Self::TELL_TIME);
        let record = self.leader.record().map(|(record, _)| record);
        self.granted.retain(|(first, fence), at| {
            let is_moving = record.is_some_and(|record| {
                let range = record.range_of(*first);
                range.is_some_and(|range| range.fence == *fence && !range.is_settled())
            });
            is_moving || now.since(*at) < Self::GRANT_TIME
        });
    }
}
