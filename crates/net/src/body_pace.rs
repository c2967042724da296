//! Time limits of a request body that is being read.

use crate::prelude::*;

/// Limits on the time that a body takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Longest time without progress; also the time before the least rate applies.
    pub stall_timeout: Duration,
    /// Least mean rate over the whole body, in bytes per second; 0 for none.
    pub min_bytes_per_s: u32,
}

/// Progress of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyPace {
    limits: BodyLimits,
    started_at: MonoTime,
    progress_at: MonoTime,
    deadline: MonoTime,
    received_bytes: u64,
}

/// Which limit of a body is reached first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceLimit {
    /// It makes no progress.
    Stalled,
    /// It comes more slowly than the least rate.
    TooSlow,
    /// The deadline of its request passes.
    DeadlinePassed,
}

impl BodyPace {
    /// Starts the times of a body whose request ends at `deadline`.
    pub fn new(limits: BodyLimits, now: MonoTime, deadline: MonoTime) -> Self {
        Self {
            limits,
            started_at: now,
            progress_at: now,
            deadline,
            received_bytes: 0,
        }
    }

    /// Records that bytes came.
    pub fn record(&mut self, bytes: usize, now: MonoTime) {
        self.received_bytes += bytes as u64;
        self.progress_at = now;
    }

    /// When the body is to be given up unless more bytes come, and by which limit.
    pub fn next_limit(&self) -> (MonoTime, PaceLimit) {
        let timeout = self.limits.stall_timeout;
        let mut limit = (self.progress_at.after(timeout), PaceLimit::Stalled);
        if self.limits.min_bytes_per_s > 0 {
            let micros = self.received_bytes.saturating_mul(1_000_000)
                / u64::from(self.limits.min_bytes_per_s);
            let span = timeout + Duration::from_micros(micros);
            let too_slow_at = self.started_at.after(span);
            if too_slow_at < limit.0 {
                limit = (too_slow_at, PaceLimit::TooSlow);
            }
        }
        if self.deadline < limit.0 {
            limit = (self.deadline, PaceLimit::DeadlinePassed);
        }
        limit
    }
}
