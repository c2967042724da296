//! Budget of second attempts over a sliding window.
//!
//! Instances do not tell each other of single attempts: each takes its share of the fixed part and
//! its own requests' part, with a margin for instances that come and go.

use crate::prelude::*;

/// Attempts and requests of one service in the window.
#[derive(Debug)]
pub struct RetryBudget {
    span: Duration,
    ratio: f64,
    slack: f64,
    requests: VecDeque<(MonoTime, u32)>,
    repeats: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// Part of the budget that is used; the rest covers instances that restart and forget.
    const MARGIN: f64 = 0.6;
    /// Requests are counted in cells of this length.
    const CELL: Duration = Duration::from_millis(250);

    /// Budget of `ratio` repeats a request plus `slack`, in any window of `span`.
    pub fn new(span: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            span,
            ratio,
            slack,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: MonoTime) {
        match self.requests.back_mut() {
            Some((start, count)) if now.since(*start) < Self::CELL => *count += 1,
            _ => self.requests.push_back((now, 1)),
        }
        self.forget(now);
    }

    /// Takes a repeat out of the budget that `instances` share; false when there is none.
    pub fn try_take(&mut self, now: MonoTime, instances: usize) -> bool {
        if !self.has_room(now, instances) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Whether a repeat would fit.
    pub fn has_room(&mut self, now: MonoTime, instances: usize) -> bool {
        self.forget(now);
        let requests: u32 = self.requests.iter().map(|(_, count)| count).sum();
        let share = self.slack / instances.max(1) as f64;
        let allowed = (self.ratio * f64::from(requests) + share) * Self::MARGIN;
        (self.repeats.len() as f64) + 1.0 <= allowed
    }

    fn forget(&mut self, now: MonoTime) {
        let from = now.before(self.span);
        while self.requests.front().is_some_and(|(at, _)| *at < from) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(|at| *at < from) {
            self.repeats.pop_front();
        }
    }
}
