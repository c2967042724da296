//! The times that bound leases, grants and suspicion.

use crate::prelude::*;

/// Times that must stand in a fixed order to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingSettings {
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

impl Default for TimingSettings {
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

impl TimingSettings {
    /// Largest share of drift that a plan may allow for, in parts per million.
    pub const MAX_DRIFT_PPM: u32 = 100_000;

    /// `span` lengthened_by_drift by the most that clocks drift.
    pub fn lengthened_by_drift(&self, span: Duration) -> Duration {
        span + span * self.drift_ppm / 1_000_000
    }

    /// `span` shortened_by_drift by the most that clocks drift.
    pub fn shortened_by_drift(&self, span: Duration) -> Duration {
        span - span * self.drift_ppm / 1_000_000
    }

    /// Times that break the order of the plan; empty when the plan can be used.
    pub fn faults(&self) -> Vec<TimingFault> {
        let longest = [
            ("grant-ms", self.grant, "lease-ms", self.lease),
            ("suspicion-ms", self.suspicion, "lease-ms", self.lease),
        ];
        let too_long = longest
            .into_iter()
            .filter(|(_, span, _, bound)| span > bound)
            .map(|(setting, span, other, bound)| TimingFault {
                setting,
                value: span.as_millis().to_string(),
                expected: format!("milliseconds, at most {other} ({})", bound.as_millis()),
            });
        let fits = [
            ("lease-ms", self.lease, 3, "heartbeat-ms", self.heartbeat),
            (
                "suspicion-ms",
                self.suspicion,
                2,
                "heartbeat-ms",
                self.heartbeat,
            ),
            (
                "grant-ms",
                self.grant,
                3,
                "grant-renewal-ms",
                self.grant_renewal,
            ),
            (
                "server-suspicion-ms",
                self.server_suspicion,
                2,
                "grant-renewal-ms",
                self.grant_renewal,
            ),
        ];
        let too_short = fits
            .into_iter()
            .filter(|(_, span, calls, _, interval)| {
                interval.is_zero() || *span < *interval * *calls
            })
            .map(|(setting, span, calls, other, interval)| TimingFault {
                setting,
                value: span.as_millis().to_string(),
                expected: format!(
                    "milliseconds, at least {calls} times {other} ({}), and that more than 0",
                    interval.as_millis()
                ),
            });
        let drift = (self.drift_ppm > Self::MAX_DRIFT_PPM).then(|| TimingFault {
            setting: "drift-ppm",
            value: self.drift_ppm.to_string(),
            expected: format!("parts per million, at most {}", Self::MAX_DRIFT_PPM),
        });
        too_long.chain(too_short).chain(drift).collect()
    }
}
