//! How a stand-in server behaves.

use crate::prelude::*;

/// Behaviour of a server, changed while it runs.
#[derive(Clone, Debug)]
pub struct ServerBehaviour {
    /// Time that a request runs.
    pub run_time: Duration,
    /// Whether orders and requests below the highest accepted fence are refused.
    pub checks_fences: bool,
    /// Whether keys of the service have one owner.
    pub exclusive: bool,
    /// Requests that the server may run at once.
    pub slots: u32,
    /// Connections that the server may have open.
    pub connections: u32,
    /// Whether requests need a grant; without one, those above the slots wait here.
    pub needs_grant: bool,
    /// Running requests from which on more are refused.
    pub sheds_from: Option<u32>,
    /// Factor of the run time.
    pub slowness: u32,
    /// Requests that the server claims to run, none for the truth.
    pub claimed_busy: Option<u32>,
    /// Whether the server says that it is leaving.
    pub leaving: bool,
    /// Every how many requests one is answered late; 0 for never.
    pub late_every: u64,
    /// Run time of a late request.
    pub late_time: Duration,
    /// Time after the start during which requests run slowly.
    pub cold_time: Duration,
}

impl ServerBehaviour {
    /// Factor of the run time at the start of a cold server.
    const COLD_FACTOR: f64 = 5.0;

    /// Time that the `number`th request runs, `age` after the server's start.
    pub(crate) fn run_time_of(&self, number: u64, age: Duration) -> Duration {
        if self.late_every > 0 && number % self.late_every == self.late_every - 1 {
            return self.late_time;
        }
        let coldness = match self.cold_time.is_zero() {
            true => 0.0,
            false => 1.0 - age.as_secs_f64() / self.cold_time.as_secs_f64(),
        };
        let factor = 1.0 + coldness.max(0.0) * (Self::COLD_FACTOR - 1.0);
        (self.run_time * self.slowness).mul_f64(factor)
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
            needs_grant: true,
            sheds_from: None,
            slowness: 1,
            claimed_busy: None,
            leaving: false,
            late_every: 0,
            late_time: Duration::ZERO,
            cold_time: Duration::ZERO,
        }
    }
}
