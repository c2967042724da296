//! Durations of leases, grants and failure suspicion, and the checks between them.

use crate::prelude::*;

/// Durations that depend on each other; [`TimingSettings::faults`] checks them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// Interval of heartbeats between a leader and its standbys.
    pub heartbeat: Duration,
    /// Time for which a member's vote for a leader lasts.
    pub lease: Duration,
    /// Time without an answer after which a standby suspects the leader.
    pub suspicion: Duration,
    /// Interval between renewals of a grant.
    pub grant_renewal: Duration,
    /// Time for which a grant to a server is valid.
    pub grant: Duration,
    /// Time without an answer after which a leader regards a server as lost.
    pub server_suspicion: Duration,
    /// Largest difference between the rates of two clocks, in parts per million.
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
    /// Largest value of `drift_ppm`.
    pub const MAX_DRIFT_PPM: u32 = 100_000;

    /// `span` lengthened by the largest drift between clocks.
    pub fn lengthened_by_drift(&self, span: Duration) -> Duration {
        span + span * self.drift_ppm / 1_000_000
    }

    /// `span` shortened by the largest drift between clocks.
    pub fn shortened_by_drift(&self, span: Duration) -> Duration {
        span - span * self.drift_ppm / 1_000_000
    }

    /// Settings that contradict each other; empty when all can be used.
    pub fn faults(&self) -> Vec<TimingFault> {
        let upper_bounds = [
            ("grant-ms", self.grant, "lease-ms", self.lease),
            ("suspicion-ms", self.suspicion, "lease-ms", self.lease),
        ];
        let too_long = upper_bounds
            .into_iter()
            .filter(|(_, span, _, bound)| span > bound)
            .map(|(setting, span, other, bound)| TimingFault {
                setting,
                value: span.as_millis().to_string(),
                expected: format!("milliseconds, at most {other} ({})", bound.as_millis()),
            });
        let lower_bounds = [
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
        let too_short = lower_bounds
            .into_iter()
            .filter(|(_, span, factor, _, interval)| {
                interval.is_zero() || *span < *interval * *factor
            })
            .map(|(setting, span, factor, other, interval)| TimingFault {
                setting,
                value: span.as_millis().to_string(),
                expected: format!(
                    "milliseconds, at least {factor} times {other} ({}), and that more than 0",
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
