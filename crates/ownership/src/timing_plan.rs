//! The times that bound leases, grants and suspicion.

use crate::prelude::*;

/// Times that must stand in a fixed order to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingPlan {
    /// Interval of heartbeats between a leader and its standbys.
    pub heartbeat: Duration,
    /// Time that a standby lends a leader with each heartbeat.
    pub lease: Duration,
    /// Silence after which a standby suspects a leader.
    pub suspicion: Duration,
    /// Interval of a grant's renewals.
    pub grant_renewal: Duration,
    /// Time that a grant stands.
    pub grant: Duration,
    /// Silence after which a leader counts a server as lost.
    pub server_suspicion: Duration,
    /// Share by which two clocks may drift apart, in parts per million.
    pub drift_ppm: u32,
}

impl Default for TimingPlan {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(50),
            lease: Duration::from_millis(300),
            suspicion: Duration::from_millis(250),
            grant_renewal: Duration::from_millis(80),
            grant: Duration::from_millis(300),
            server_suspicion: Duration::from_millis(250),
            drift_ppm: 500,
        }
    }
}

impl TimingPlan {
    /// `span` lengthened by the most that clocks drift.
    pub fn lengthened(&self, span: Duration) -> Duration {
        span + span * self.drift_ppm / 1_000_000
    }

    /// `span` shortened by the most that clocks drift.
    pub fn shortened(&self, span: Duration) -> Duration {
        span - span * self.drift_ppm / 1_000_000
    }
}
