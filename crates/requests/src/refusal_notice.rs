//! Refusal that is sent to a caller.

use crate::prelude::*;

/// Reason, outcome and retry delay of a refused request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusalNotice {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request has run.
    pub outcome: RunOutcome,
    /// Delay after which the caller should retry, or `None` when a retry would not help.
    pub retry_after: Option<Duration>,
}

impl RefusalNotice {
    /// Creates a refusal of a request that did not run and that the caller should not retry.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: RunOutcome::NotRun,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that did not run and may be retried after `delay`.
    pub fn try_again(reason: RefusalReason, delay: Duration) -> Self {
        Self {
            reason,
            outcome: RunOutcome::NotRun,
            retry_after: Some(delay),
        }
    }

    /// Changes the outcome from not run to unknown, because an earlier attempt may have run.
    pub fn after_unclear_attempt(mut self) -> Self {
        if self.outcome == RunOutcome::NotRun {
            self.outcome = RunOutcome::Unknown;
        }
        self
    }

    /// Changes the outcome from not run to unknown if the request may be a repeat, because no
    /// deduplication table was asked whether an earlier request with its id ran.
    pub fn without_dedup_check(self, may_be_repeat: bool) -> Self {
        match may_be_repeat {
            true => self.after_unclear_attempt(),
            false => self,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: RunOutcome::Unknown,
            retry_after: None,
        }
    }
}
