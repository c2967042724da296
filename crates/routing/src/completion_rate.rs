//! How fast a queue drains, measured by the requests that end.

use crate::prelude::*;

/// Ends of requests in the last moments.
#[derive(Clone, Debug, Default)]
pub struct CompletionRate {
    ends: VecDeque<MonoTime>,
}

impl CompletionRate {
    /// Span over which the rate is measured.
    const SPAN: Duration = Duration::from_secs(1);
    /// Ends remembered.
    const MAX_ENDS: usize = 256;
    /// Shortest time that a refused caller is told to wait.
    const LEAST_PAUSE: Duration = Duration::from_millis(100);
    /// Longest time that a refused caller is told to wait.
    const MOST_PAUSE: Duration = Duration::from_millis(1_500);

    /// Counts the end of a request.
    pub fn record_completion(&mut self, now: MonoTime) {
        self.ends.push_back(now);
        if self.ends.len() > Self::MAX_ENDS {
            self.ends.pop_front();
        }
    }

    /// Requests that end in a second.
    pub fn per_second(&mut self, now: MonoTime) -> f64 {
        let from = now.before(Self::SPAN);
        while self.ends.front().is_some_and(|at| *at < from) {
            self.ends.pop_front();
        }
        let span = match self.ends.len() == Self::MAX_ENDS {
            true => now.since(self.ends[0]).as_secs_f64().max(0.001),
            false => Self::SPAN.as_secs_f64(),
        };
        self.ends.len() as f64 / span
    }

    /// Time until `waiting` requests have found a slot; `draw` from 0 to 1 spreads callers that
    /// are refused together.
    pub fn retry_after(&mut self, waiting: usize, now: MonoTime, draw: f64) -> Duration {
        let rate = self.per_second(now).max(0.5);
        let pause = (waiting as f64 + 1.0) / rate * (0.75 + 0.5 * draw);
        Duration::from_secs_f64(pause).clamp(Self::LEAST_PAUSE, Self::MOST_PAUSE)
    }
}
