//! One service's keys as this instance knows them.

use crate::prelude::*;

/// Leadership and record of one service, and the load of its keys.
pub(crate) struct KeyView {
    /// Record and orders.
    pub(crate) lead: KeyLead,
    /// Keys of recent requests, of all instances while this one leads.
    pub(crate) window: SampleWindow,
    /// Keys of requests since the last heartbeat.
    pub(crate) recent: Vec<u16>,
    /// Requests since the last heartbeat.
    pub(crate) recent_total: u32,
}

impl KeyView {
    /// Prefix of the records' names.
    pub(crate) const PREFIX: &'static str = "keys.";
    /// Span of the load that moves are planned on.
    const WINDOW: Duration = Duration::from_millis(2_500);
    /// Keys reported in one heartbeat, which has to fit one datagram.
    pub(crate) const MAX_RECENT: usize = 160;

    /// View before anything is known.
    pub(crate) fn new(me: LeaderMark, timing: LeadTiming) -> Self {
        Self {
            lead: KeyLead::new(me, timing),
            window: SampleWindow::new(Self::WINDOW),
            recent: Vec::new(),
            recent_total: 0,
        }
    }

    /// Counts a request for a key; beyond the bound each new one replaces an earlier one at
    /// random (`draw` from 0 to 1), so that the kept ones stay a fair sample.
    pub(crate) fn note(&mut self, key: u16, draw: f64) {
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
}
