//! Budget of retries.
//!
//! Each success adds a share of a retry, so that retries stay a bounded share of the load however
//! many requests fail at once.

use crate::prelude::*;

/// Retries that one service may still send.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Hundredths of a retry.
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: Self::RESERVE,
        }
    }
}

impl RetryBudget {
    /// Hundredths of a retry that a success adds.
    pub const SHARE: u32 = 10;
    /// Hundredths of a retry that may be saved up.
    pub const RESERVE: u32 = 2_000;
    /// Hundredths that one retry costs.
    pub const COST: u32 = 100;
    /// Pause before the first retry, before jitter.
    const BASE_PAUSE: Duration = Duration::from_millis(2);
    /// Longest pause before a retry.
    const MAX_PAUSE: Duration = Duration::from_millis(100);

    /// Notes a request that got its answer at the first attempt.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + Self::SHARE).min(Self::RESERVE);
    }

    /// Takes a retry out of the budget; false when there is none.
    pub fn try_take(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(Self::COST) else {
            return false;
        };
        self.balance = balance;
        true
    }

    /// Pause before retry number `retry`, from a `jitter` between 0 and 1.
    pub fn backoff(retry: u32, jitter: f64) -> Duration {
        let longest = (Self::BASE_PAUSE * 2_u32.saturating_pow(retry.min(10))).min(Self::MAX_PAUSE);
        longest.mul_f64(jitter.clamp(0.0, 1.0))
    }
}
