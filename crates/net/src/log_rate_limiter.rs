//! Bounds on the volume of logs.
//!
//! Each kind of line may be written so often a second; what is left out is counted and told.

use crate::prelude::*;

/// Lines written and left out by kind.
#[derive(Default)]
pub struct LogRateLimiter {
    kinds: Mutex<IndexMap<&'static str, KindBudget>>,
}

#[derive(Default)]
struct KindBudget {
    since: MonoTime,
    written: u32,
    left_out: u64,
}

impl LogRateLimiter {
    /// Lines of one kind in a second.
    const MAX_LINES: u32 = 20;
    /// Span of the budget.
    const SPAN: Duration = Duration::from_secs(1);

    /// Whether a line of this kind may be written now.
    pub fn allow(&self, kind: &'static str, now: MonoTime) -> bool {
        let mut kinds = self.kinds.lock().unwrap();
        let budget = kinds.entry(kind).or_default();
        if now.since(budget.since) >= Self::SPAN {
            budget.since = now;
            budget.written = 0;
        }
        if budget.written >= Self::MAX_LINES {
            budget.left_out += 1;
            return false;
        }
        budget.written += 1;
        true
    }

    /// Tells how many lines were left out since the last call.
    pub fn log_suppressed(&self) {
        for (kind, budget) in self.kinds.lock().unwrap().iter_mut() {
            if budget.left_out > 0 {
                log::warn!(kind = *kind, lines = budget.left_out; "log lines left out");
                budget.left_out = 0;
            }
        }
    }
}
