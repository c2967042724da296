//! How long grants that were sent may still hold.
//!
//! A server counts a grant's time from its arrival, on a clock that may run slow. A grant without
//! an answer may have arrived. Only after the time of the last one sent may another server be given
//! the same keys without the holder's release.

use crate::prelude::*;

/// Grants sent, by fence.
#[derive(Clone, Debug)]
pub struct GrantLedger {
    hold: Duration,
    sent: IndexMap<u64, SentTimes>,
    /// Time until which grants of earlier leaders may hold.
    inherited: MonoTime,
}

/// When a grant was last sent, and when the one before.
#[derive(Clone, Copy, Debug)]
struct SentTimes {
    last: MonoTime,
    before: Option<MonoTime>,
}

impl GrantLedger {
    /// Share by which a server's clock may run slow (page on keys: 2%).
    const SLOW_CLOCK: f64 = 0.02;
    /// Time that a grant may spend on its way.
    const TRANSIT: Duration = Duration::from_millis(250);

    /// Book of grants that each hold for `hold`.
    pub fn new(hold: Duration) -> Self {
        Self {
            hold,
            sent: IndexMap::new(),
            inherited: MonoTime::default(),
        }
    }

    /// Longest time that a grant holds after it was sent.
    pub fn max_validity(&self) -> Duration {
        self.hold.mul_f64(1.0 + Self::SLOW_CLOCK) + Self::TRANSIT
    }

    /// Notes that a grant under `fence` is about to be sent.
    pub fn record_sent(&mut self, fence: u64, now: MonoTime) {
        let before = self.sent.get(&fence).map(|times| times.last);
        self.sent.insert(fence, SentTimes { last: now, before });
    }

    /// Notes that keys granted under `old` are held under `fence` from now on.
    pub fn carry_over(&mut self, fence: u64, old: u64) {
        let Some(times) = self.sent.get(&old).copied() else {
            return;
        };
        let known = self.sent.entry(fence).or_insert(times);
        known.last = known.last.max(times.last);
    }

    /// Takes back a grant that was booked at `at` and of which no byte left.
    pub fn cancel_sent(&mut self, fence: u64, at: MonoTime) {
        if let Some(times) = self.sent.get_mut(&fence)
            && times.last == at
            && let Some(before) = times.before
        {
            times.last = before;
        }
    }

    /// Notes that grants of earlier leaders may hold until `until`.
    pub fn set_former_until(&mut self, until: MonoTime) {
        self.inherited = until;
    }

    /// Time until which grants of earlier leaders may hold.
    pub fn former_until(&self) -> MonoTime {
        self.inherited
    }

    /// Time until which a grant under `fence` may hold.
    pub fn valid_until(&self, fence: u64) -> MonoTime {
        let own = self.sent.get(&fence).map_or(MonoTime::default(), |times| {
            times.last.after(self.max_validity())
        });
        own.max(self.inherited)
    }

    /// Forgets fences that no record names any more.
    pub fn retain(&mut self, mut is_named: impl FnMut(u64) -> bool, now: MonoTime) {
        let longest = self.max_validity();
        self.sent
            .retain(|fence, times| is_named(*fence) || now < times.last.after(longest));
    }
}
