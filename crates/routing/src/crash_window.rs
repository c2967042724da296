//! Crashes of a service's servers in the last seconds.
//!
//! Bounds the servers that retries may cost when many different requests crash servers.

use crate::prelude::*;

/// Recently crashed servers of one service.
#[derive(Clone, Debug, Default)]
pub struct CrashWindow {
    crashes: IndexMap<IncarnationHash, MonoTime>,
}

impl CrashWindow {
    /// Time for which a crash is counted.
    const SPAN: Duration = Duration::from_secs(10);
    /// Share of the servers that may have crashed while requests are still retried after a crash.
    const MAX_SHARE: f64 = 0.25;
    /// Number of crashed servers up to which requests are retried in any case.
    const MIN_ALLOWED: usize = 2;

    /// Counts the crash of a server.
    pub fn record(&mut self, server: IncarnationHash, now: MonoTime) {
        self.crashes.retain(|_, at| now.since(*at) < Self::SPAN);
        self.crashes.entry(server).or_insert(now);
    }

    /// Whether a request whose server crashed may be sent to another of the `servers` that are
    /// left.
    pub fn allows_retry(&self, servers: usize, now: MonoTime) -> bool {
        let recent = self.crashes.values();
        let recent = recent.filter(|at| now.since(**at) < Self::SPAN).count();
        let all = servers + recent;
        recent <= Self::MIN_ALLOWED.max((all as f64 * Self::MAX_SHARE) as usize)
    }
}
