//! The signals for which the process has handlers, read from the operating system.

use crate::prelude::*;

/// Set of signals, one bit each.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SignalMask(u64);

impl SignalMask {
    /// File in which Linux describes the process (proc(5)).
    const STATUS_PATH: &str = "/proc/self/status";
    /// Prefix of the line with the mask of handled signals.
    const HANDLED_PREFIX: &str = "SigCgt:";

    /// Signals that have a handler. The set is empty where the system does not provide it, so that
    /// handlers are installed for all signals.
    pub(crate) fn handled() -> Self {
        let status = std::fs::read_to_string(Self::STATUS_PATH).unwrap_or_default();
        Self::parse(&status).unwrap_or_default()
    }

    /// Parses the mask of handled signals from the text of the status file.
    pub(crate) fn parse(status: &str) -> Option<Self> {
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(Self::HANDLED_PREFIX))?;
        u64::from_str_radix(line.trim(), 16).ok().map(Self)
    }

    /// Whether the set contains `signal`.
    pub(crate) fn contains(self, signal: ProcessSignal) -> bool {
        self.0 >> (signal.number() - 1) & 1 == 1
    }
}
