//! Pauses between calls that fail.

use crate::prelude::*;

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    least: Duration,
    most: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Pauses between `least` and `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        Self {
            least,
            most,
            failures: 0,
        }
    }

    /// Pause after one more failure; `draw` is a random number from 0 to 1.
    pub fn next_delay(&mut self, draw: f64) -> Duration {
        let ceiling = self
            .least
            .saturating_mul(1 << self.failures.min(16))
            .min(self.most);
        self.failures = self.failures.saturating_add(1);
        self.least
            + ceiling
                .saturating_sub(self.least)
                .mul_f64(draw.clamp(0.0, 1.0))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
