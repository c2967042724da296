//! Rate limit on log lines.
//!
//! Each kind of line has its own limit per second. Suppressed lines are counted, and the counts are
//! logged.

use crate::prelude::*;

/// Limits how many log lines of each kind are written per second.
#[derive(Default)]
pub struct LogRateLimiter {
    windows: StateMutex<IndexMap<&'static str, LogWindow>>,
}

#[derive(Default)]
struct LogWindow {
    started_at: MonoTime,
    written: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Lines of one kind that may be written in one window.
    const MAX_LINES_PER_WINDOW: u32 = 20;
    const WINDOW: Duration = Duration::from_secs(1);

    /// Whether a line of this kind may be written at `now`; counts it as written or suppressed.
    pub fn allow(&self, kind: &'static str, now: MonoTime) -> bool {
        let mut windows = self.windows.lock();
        let window = windows.entry(kind).or_default();
        if now.since(window.started_at) >= Self::WINDOW {
            window.started_at = now;
            window.written = 0;
        }
        if window.written >= Self::MAX_LINES_PER_WINDOW {
            window.suppressed += 1;
            return false;
        }
        window.written += 1;
        true
    }

    /// Logs how many lines of each kind were suppressed since the last call.
    pub fn log_suppressed(&self) {
        for (kind, window) in self.windows.lock().iter_mut() {
            if window.suppressed > 0 {
                log::warn!(kind = *kind, lines = window.suppressed; "log lines left out");
                window.suppressed = 0;
            }
        }
    }
}
