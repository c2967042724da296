//! Configurable behaviour of a simulated server.

use crate::prelude::*;

/// Behaviour of a server; it can be changed while the server runs.
#[derive(Clone, Debug)]
pub struct ServerBehaviour {
    /// Time for which a request runs.
    pub run_time: Duration,
    /// Whether the server refuses grants and requests with a fence below that of a held grant.
    pub checks_fences: bool,
    /// Whether each key of the service has exactly one owner.
    pub exclusive: bool,
    /// Number of requests that the server may run at once.
    pub slots: u32,
    /// Number of connections that the server may have open.
    pub connections: u32,
    /// Whether requests need a grant; if not, requests beyond the slots queue at the server.
    pub requires_grant: bool,
    /// Number of running requests at which the server starts to refuse new ones.
    pub shed_threshold: Option<u32>,
    /// Factor by which requests run longer than `run_time`.
    pub slowdown: u32,
    /// Number of running requests that the server reports instead of the actual one, if any.
    pub reported_busy: Option<u32>,
    /// Whether the server announces that it is leaving.
    pub leaving: bool,
    /// One in this number of requests is answered late; 0 for none.
    pub late_every: u64,
    /// Run time of a request that is answered late.
    pub late_run_time: Duration,
    /// Time after the start in which requests run longer, by a factor that falls to 1.
    pub warmup_time: Duration,
}

impl ServerBehaviour {
    /// Factor of the run time at the start of the warm-up.
    const WARMUP_FACTOR: f64 = 5.0;

    /// Run time of request `number`, counted from 0, if it starts `age` after the server's start.
    pub(crate) fn run_time_for(&self, number: u64, age: Duration) -> Duration {
        if self.late_every > 0 && number % self.late_every == self.late_every - 1 {
            return self.late_run_time;
        }
        let remaining_warmup = match self.warmup_time.is_zero() {
            true => 0.0,
            false => 1.0 - age.as_secs_f64() / self.warmup_time.as_secs_f64(),
        };
        let factor = 1.0 + remaining_warmup.max(0.0) * (Self::WARMUP_FACTOR - 1.0);
        (self.run_time * self.slowdown).mul_f64(factor)
    }
}

impl Default for ServerBehaviour {
    fn default() -> Self {
        Self {
            run_time: Duration::from_millis(5),
            checks_fences: false,
            exclusive: true,
            slots: 3,
            connections: 100,
            requires_grant: true,
            shed_threshold: None,
            slowdown: 1,
            reported_busy: None,
            leaving: false,
            late_every: 0,
            late_run_time: Duration::ZERO,
            warmup_time: Duration::ZERO,
        }
    }
}
