//! Rate at which requests complete, and the time after which a refused caller should retry.

use crate::prelude::*;

/// Times of recently completed requests.
#[derive(Clone, Debug, Default)]
pub struct CompletionRate {
    completions: VecDeque<MonoTime>,
}

impl CompletionRate {
    /// Period over which the rate is measured.
    const SPAN: Duration = Duration::from_secs(1);
    /// Highest number of completions kept.
    const MAX_COMPLETIONS: usize = 256;
    /// Shortest retry delay given to a refused caller.
    const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
    /// Longest retry delay given to a refused caller.
    const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

    /// Records the end of a request.
    pub fn record_completion(&mut self, now: MonoTime) {
        self.completions.push_back(now);
        if self.completions.len() > Self::MAX_COMPLETIONS {
            self.completions.pop_front();
        }
    }

    /// Requests that complete per second.
    pub fn per_second(&mut self, now: MonoTime) -> f64 {
        let window_start = now.before(Self::SPAN);
        while self
            .completions
            .front()
            .is_some_and(|at| *at < window_start)
        {
            self.completions.pop_front();
        }
        let span = match self.completions.len() == Self::MAX_COMPLETIONS {
            true => now.since(self.completions[0]).as_secs_f64().max(0.001),
            false => Self::SPAN.as_secs_f64(),
        };
        self.completions.len() as f64 / span
    }

    /// Time until `waiting` requests have got a slot. The random number `draw` from 0 to 1 spreads
    /// callers that are refused at the same time.
    pub fn retry_after(&mut self, waiting: usize, now: MonoTime, draw: f64) -> Duration {
        let rate = self.per_second(now).max(0.5);
        let retry_after = (waiting as f64 + 1.0) / rate * (0.75 + 0.5 * draw);
        Duration::from_secs_f64(retry_after).clamp(Self::MIN_RETRY_AFTER, Self::MAX_RETRY_AFTER)
    }
}
