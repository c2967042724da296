//! Tracks until when sent grants may be valid.
//!
//! A server counts the validity of a grant from its arrival, on a clock that may run slow. A grant
//! without an answer may have arrived. Without a release by the holder, another server may
//! therefore be granted the same keys only after the last grant sent to the holder has expired.

use crate::prelude::*;

/// Send times of grants, by fence.
#[derive(Clone, Debug)]
pub struct GrantLedger {
    grant_duration: Duration,
    sent: IndexMap<u64, SentTimes>,
    /// Time until which grants of former leaders may be valid.
    former_until: MonoTime,
}

/// Times of the last grant sent under a fence and of the one before it.
#[derive(Clone, Copy, Debug)]
struct SentTimes {
    last: MonoTime,
    previous: Option<MonoTime>,
}

impl GrantLedger {
    /// Share by which a server's clock may run slow; the platform's page on keys gives 2%.
    const MAX_CLOCK_LAG: f64 = 0.02;
    /// Longest time from the sending of a grant until its arrival. Senders wait less for an answer,
    /// and close the connection then.
    pub const MAX_TRANSIT: Duration = Duration::from_millis(550);

    /// Creates an empty ledger of grants that are each valid for `grant_duration`.
    pub fn new(grant_duration: Duration) -> Self {
        Self {
            grant_duration,
            sent: IndexMap::new(),
            former_until: MonoTime::default(),
        }
    }

    /// Longest time after its sending for which a grant may be valid.
    pub fn max_validity(&self) -> Duration {
        self.grant_duration.mul_f64(1.0 + Self::MAX_CLOCK_LAG) + Self::MAX_TRANSIT
    }

    /// Records that a grant under `fence` is about to be sent.
    pub fn record_sent(&mut self, fence: u64, now: MonoTime) {
        let previous = self.sent.get(&fence).map(|times| times.last);
        self.sent.insert(
            fence,
            SentTimes {
                last: now,
                previous,
            },
        );
    }

    /// Records that keys granted under `old_fence` are held under `fence` from now on.
    pub fn carry_over(&mut self, fence: u64, old_fence: u64) {
        let Some(times) = self.sent.get(&old_fence).copied() else {
            return;
        };
        let known = self.sent.entry(fence).or_insert(times);
        known.last = known.last.max(times.last);
    }

    /// Undoes `record_sent` of time `at` for a grant of which no byte was sent.
    pub fn cancel_sent(&mut self, fence: u64, at: MonoTime) {
        if let Some(times) = self.sent.get_mut(&fence)
            && times.last == at
            && let Some(previous) = times.previous
        {
            times.last = previous;
        }
    }

    /// Sets the time until which grants of former leaders may be valid.
    pub fn set_former_until(&mut self, until: MonoTime) {
        self.former_until = until;
    }

    /// Time until which grants of former leaders may be valid.
    pub fn former_until(&self) -> MonoTime {
        self.former_until
    }

    /// Time until which a grant under `fence` may be valid.
    pub fn valid_until(&self, fence: u64) -> MonoTime {
        self.own_valid_until(fence).max(self.former_until)
    }

    /// Time until which a grant that this leader has sent under `fence` may be valid.
    pub fn own_valid_until(&self, fence: u64) -> MonoTime {
        self.sent.get(&fence).map_or(MonoTime::default(), |times| {
            times.last.after(self.max_validity())
        })
    }

    /// Drops expired fences that no record names any more.
    pub fn retain(&mut self, mut is_named: impl FnMut(u64) -> bool, now: MonoTime) {
        let max_validity = self.max_validity();
        self.sent
            .retain(|fence, times| is_named(*fence) || now < times.last.after(max_validity));
    }
}
