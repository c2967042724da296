//! Retry budget over a sliding window.
//!
//! The budget is shared by all instances, which do not exchange single retries. Each instance uses
//! the part earned by its own requests and an equal share of the fixed part, with a margin for
//! instances that start and stop.

use crate::prelude::*;

/// Requests and retries of one service within the window.
#[derive(Debug)]
pub struct RetryBudget {
    span: Duration,
    ratio: f64,
    slack: f64,
    requests: VecDeque<(MonoTime, u32)>,
    retries: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// Share of the budget that is used; the rest covers instances that restart with an empty
    /// window.
    const USABLE_SHARE: f64 = 0.6;
    /// Time for which requests are counted together.
    const BUCKET: Duration = Duration::from_millis(250);

    /// Creates a budget of `ratio` retries per request plus `slack` retries, within any window of
    /// length `span`.
    pub fn new(span: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            span,
            ratio,
            slack,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: MonoTime) {
        match self.requests.back_mut() {
            Some((start, count)) if now.since(*start) < Self::BUCKET => *count += 1,
            _ => self.requests.push_back((now, 1)),
        }
        self.drop_expired(now);
    }

    /// Takes one retry from the budget shared by `instances` instances; returns false if it is used
    /// up.
    pub fn try_take(&mut self, now: MonoTime, instances: usize) -> bool {
        if !self.has_room(now, instances) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Whether the budget allows another retry.
    pub fn has_room(&mut self, now: MonoTime, instances: usize) -> bool {
        self.drop_expired(now);
        let requests: u32 = self.requests.iter().map(|(_, count)| count).sum();
        let share = self.slack / instances.max(1) as f64;
        let allowed = (self.ratio * f64::from(requests) + share) * Self::USABLE_SHARE;
        (self.retries.len() as f64) + 1.0 <= allowed
    }

    fn drop_expired(&mut self, now: MonoTime) {
        let window_start = now.before(self.span);
        while self
            .requests
            .front()
            .is_some_and(|(at, _)| *at < window_start)
        {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|at| *at < window_start) {
            self.retries.pop_front();
        }
    }
}
