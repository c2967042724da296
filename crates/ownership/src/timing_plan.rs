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
    /// Largest share of drift that a plan may allow for, in parts per million.
    pub const MAX_DRIFT_PPM: u32 = 100_000;

    /// `span` lengthened by the most that clocks drift.
    pub fn lengthened(&self, span: Duration) -> Duration {
        span + span * self.drift_ppm / 1_000_000
    }

    /// `span` shortened by the most that clocks drift.
    pub fn shortened(&self, span: Duration) -> Duration {
        span - span * self.drift_ppm / 1_000_000
    }

    /// Combinations that break the order of the times; empty when the plan can be used.
    pub fn findings(&self) -> Vec<String> {
        let ms = Duration::as_millis;
        let mut findings = Vec::new();
        let mut refuse = |broken: bool, text: String| {
            if broken {
                findings.push(text);
            }
        };
        refuse(
            self.heartbeat.is_zero() || self.grant_renewal.is_zero(),
            "heartbeat-ms and grant-renewal-ms must be more than 0".into(),
        );
        refuse(
            self.heartbeat * 3 > self.lease,
            format!(
                "lease-ms {} must be at least 3 times heartbeat-ms {}: two lost heartbeats must not \
                 end a lease",
                ms(&self.lease),
                ms(&self.heartbeat)
            ),
        );
        refuse(
            self.grant > self.lease,
            format!(
                "grant-ms {} must not exceed lease-ms {}: a grant ends before its sender's authority",
                ms(&self.grant),
                ms(&self.lease)
            ),
        );
        refuse(
            self.grant_renewal * 3 > self.grant,
            format!(
                "grant-ms {} must be at least 3 times grant-renewal-ms {}: two lost renewals must \
                 not end a grant",
                ms(&self.grant),
                ms(&self.grant_renewal)
            ),
        );
        refuse(
            self.suspicion > self.lease,
            format!(
                "suspicion-ms {} must not exceed lease-ms {}: a leader is suspected before its lease \
                 ends",
                ms(&self.suspicion),
                ms(&self.lease)
            ),
        );
        refuse(
            self.server_suspicion < self.grant_renewal * 2,
            format!(
                "server-suspicion-ms {} must be at least 2 times grant-renewal-ms {}: one lost answer \
                 must not move a server's slices",
                ms(&self.server_suspicion),
                ms(&self.grant_renewal)
            ),
        );
        refuse(
            self.drift_ppm > Self::MAX_DRIFT_PPM,
            format!(
                "drift-ppm {} must not exceed {}",
                self.drift_ppm,
                Self::MAX_DRIFT_PPM
            ),
        );
        findings
    }
}
