//! Retry budget of a service.
//!
//! Each success adds a fraction of a retry, so that retries stay a bounded share of the load
//! however many requests fail at once. Amounts are in hundredths of a retry.

use crate::prelude::*;

/// Balance of retries that may be sent for one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: Self::MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Amount that a success adds, in hundredths of a retry.
    pub const SUCCESS_CREDIT: u32 = 10;
    /// Initial and largest balance, in hundredths of a retry.
    pub const MAX_BALANCE: u32 = 2_000;
    /// Amount that one retry costs, in hundredths of a retry.
    pub const RETRY_COST: u32 = 100;
    /// Backoff before the first retry, without jitter.
    const BASE_BACKOFF: Duration = Duration::from_millis(2);
    /// Longest backoff before a retry.
    const MAX_BACKOFF: Duration = Duration::from_millis(100);

    /// Records a request that was answered at its first attempt.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + Self::SUCCESS_CREDIT).min(Self::MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns false when the balance does not cover it.
    pub fn try_take(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(Self::RETRY_COST) else {
            return false;
        };
        self.balance = balance;
        true
    }

    /// Returns the backoff before retry number `retry`, counted from 0, scaled by a `jitter`
    /// between 0 and 1.
    pub fn backoff(retry: u32, jitter: f64) -> Duration {
        let longest =
            (Self::BASE_BACKOFF * 2_u32.saturating_pow(retry.min(10))).min(Self::MAX_BACKOFF);
        longest.mul_f64(jitter.clamp(0.0, 1.0))
    }
}
