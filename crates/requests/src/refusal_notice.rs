//! Refusals.

use crate::prelude::*;

/// A refusal with all that the caller needs to act on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusalNotice {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// When to try again, none when a repeat can't help.
    pub retry_after: Option<Duration>,
}

impl RefusalNotice {
    /// Refusal of a request that did not run and need not be tried again.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: RunOutcome::NotRun,
            retry_after: None,
        }
    }

    /// Refusal of a request that did not run and may be tried again after `delay`.
    pub fn try_again(reason: RefusalReason, delay: Duration) -> Self {
        Self {
            reason,
            outcome: RunOutcome::NotRun,
            retry_after: Some(delay),
        }
    }

    /// The same refusal after an earlier attempt that may have run.
    pub fn after_unclear_attempt(mut self) -> Self {
        if self.outcome == RunOutcome::NotRun {
            self.outcome = RunOutcome::Unknown;
        }
        self
    }

    /// The same refusal where nobody was asked whether an earlier request of the id ran.
    pub fn without_dedup_check(self, may_be_repeat: bool) -> Self {
        match may_be_repeat {
            true => self.after_unclear_attempt(),
            false => self,
        }
    }

    /// Refusal of a request that may have run.
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: RunOutcome::Unknown,
            retry_after: None,
        }
    }
}
