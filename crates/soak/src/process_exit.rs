//! The end of an instance's process, and whether it was due.

use crate::prelude::*;
use std::{os::unix::process::ExitStatusExt, process::ExitStatus};

/// How and when a process ended.
#[derive(Clone, Debug)]
pub(crate) struct ProcessExit {
    /// None if it still ran beyond its grace time, and was killed.
    pub(crate) status: Option<ExitStatus>,
    /// Time since its start.
    pub(crate) uptime: Duration,
    /// Whether it had said that it started.
    pub(crate) has_started: bool,
    /// Time since the first signal that asked for a stop.
    pub(crate) stop_duration: Option<Duration>,
    /// Longest time that a stop may take.
    pub(crate) stop_timeout: Duration,
}

impl ProcessExit {
    /// Time within which a signal may end a process that has not said that it started: the longest
    /// pause that a fault makes, and a second until handlers are installed.
    const STARTUP_TIME: Duration = Duration::from_secs(5);
    /// Least time of a stop: the balancer asks each second, and takes an instance out after two
    /// misses.
    const MIN_STOP_TIME: Duration = Duration::from_secs(2);
    /// Time beyond the grace time after which a stop is overdue.
    pub(crate) const STOP_SLACK: Duration = Duration::from_secs(1);

    /// Whether a stop that was asked for at `since` is overdue.
    pub(crate) fn is_overdue(since: MonoTime, now: MonoTime, stop_timeout: Duration) -> bool {
        now.since(since) > stop_timeout + Self::STOP_SLACK
    }

    /// Rule that the end breaks, and how; `is_undisturbed` when nothing but planned work came meanwhile.
    pub(crate) fn violation(&self, is_undisturbed: bool) -> Option<(&'static str, String)> {
        let min_stop_time = Self::MIN_STOP_TIME.min(self.stop_timeout / 2);
        let Some(status) = self.status else {
            return is_undisturbed.then(|| ("DRAIN", "still ran after its grace time".into()));
        };
        let killed_by_signal = status.signal().is_some();
        if killed_by_signal && !self.has_started && self.uptime < Self::STARTUP_TIME {
            return None;
        }
        match self.stop_duration {
            _ if killed_by_signal => Some(("FAULT", format!("was ended: {status}"))),
            None => Some(("FAULT", format!("ended by itself: {status}"))),
            Some(_) if !status.success() => Some(("DRAIN", format!("did not stop well: {status}"))),
            Some(duration) if duration < min_stop_time => {
                Some(("DRAIN", format!("stopped after {duration:?}")))
            }
            Some(_) => None,
        }
    }
}
