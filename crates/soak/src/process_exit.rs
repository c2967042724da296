//! Exit of an instance's process, and whether it violates a guarantee.

use crate::prelude::*;
use std::{os::unix::process::ExitStatusExt, process::ExitStatus};

/// How and when a process exited.
#[derive(Clone, Debug)]
pub(crate) struct ProcessExit {
    /// Exit status; `None` if the process was killed because it still ran after its stop timeout.
    pub(crate) status: Option<ExitStatus>,
    /// Time from the start of the process to its exit.
    pub(crate) uptime: Duration,
    /// Whether the process had logged that it started.
    pub(crate) has_started: bool,
    /// Time from the first signal that requested a stop to the exit; `None` without such a signal.
    pub(crate) stop_duration: Option<Duration>,
    /// Longest allowed duration of a stop.
    pub(crate) stop_timeout: Duration,
}

impl ProcessExit {
    /// Time within which a signal may end a process that has not logged that it started: the
    /// longest suspension by a fault, and 1 s until the signal handlers are installed.
    const STARTUP_TIME: Duration = Duration::from_secs(5);
    /// Shortest allowed duration of a stop: the load balancer checks the readiness every second and
    /// takes an instance out of rotation after two failed checks.
    const MIN_STOP_TIME: Duration = Duration::from_secs(2);
    /// Time after the stop timeout from which a stop is overdue.
    pub(crate) const STOP_SLACK: Duration = Duration::from_secs(1);

    /// Whether a stop that was requested at `since` is overdue.
    pub(crate) fn is_overdue(since: MonoTime, now: MonoTime, stop_timeout: Duration) -> bool {
        now.since(since) > stop_timeout + Self::STOP_SLACK
    }

    /// Returns the name of the guarantee that the exit violates, with a description.
    /// `is_undisturbed`: only planned work affected the instance since the stop was requested.
    pub(crate) fn violation(&self, is_undisturbed: bool) -> Option<(&'static str, String)> {
        let min_stop_time = Self::MIN_STOP_TIME.min(self.stop_timeout / 2);
        let Some(status) = self.status else {
            return is_undisturbed.then(|| ("DRAIN", "still ran after its stop timeout".into()));
        };
        let killed_by_signal = status.signal().is_some();
        if killed_by_signal && !self.has_started && self.uptime < Self::STARTUP_TIME {
            return None;
        }
        match self.stop_duration {
            _ if killed_by_signal => {
                Some(("FAULT", format!("was terminated by a signal: {status}")))
            }
            None => Some(("FAULT", format!("exited without a stop request: {status}"))),
            Some(_) if !status.success() => {
                Some(("DRAIN", format!("failed during its stop: {status}")))
            }
            Some(duration) if duration < min_stop_time => {
                Some(("DRAIN", format!("stopped too early, after {duration:?}")))
            }
            Some(_) => None,
        }
    }
}
