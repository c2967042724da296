//! Backoff between failed calls.

use crate::prelude::*;

/// Exponential backoff with jitter between a minimum and a growing upper bound.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    min_delay: Duration,
    max_delay: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Creates a backoff with delays between `min_delay` and `max_delay`.
    pub fn new(min_delay: Duration, max_delay: Duration) -> Self {
        Self {
            min_delay,
            max_delay,
            failures: 0,
        }
    }

    /// Delay after another failure; `random_fraction` is a random number from 0 to 1.
    pub fn next_delay(&mut self, random_fraction: f64) -> Duration {
        let upper_bound = self
            .min_delay
            .saturating_mul(1 << self.failures.min(16))
            .min(self.max_delay);
        self.failures = self.failures.saturating_add(1);
        self.min_delay
            + upper_bound
                .saturating_sub(self.min_delay)
                .mul_f64(random_fraction.clamp(0.0, 1.0))
    }

    /// Resets the backoff after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
