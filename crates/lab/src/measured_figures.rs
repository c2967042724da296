//! Figures of one scenario.

use crate::prelude::*;
use serde::Serialize;

/// What a scenario measured; its JSON form is one line.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MeasuredFigures {
    /// Scenario.
    pub scenario: String,
    /// Seed of the load.
    pub seed: u64,
    /// Grants and runs that overlapped another server's.
    pub two_owners: u64,
    /// Unrepeatable requests that ran more than once.
    pub ran_twice: u64,
    /// Refusals and answers whose claim was wrong.
    pub untrue_refusals: u64,
    /// Answers that were wrong or partial.
    pub wrong_answers: u64,
    /// Requests cut by planned stops.
    pub cut_in_flight: u64,
    /// Falls to an older configuration.
    pub reverted: u64,
    /// Runs above a server's slots.
    pub over_slots: u64,
    /// Connections above a server's limit.
    pub over_connections: u64,
    /// Unavailable time of each affected range of keys.
    pub unavailable_ms: SpreadFigures,
    /// Busiest server's busy time over the mean, per service: mean of 1 s windows.
    pub imbalance: IndexMap<String, f64>,
    /// Slices moved over the fewest that had to move.
    pub churn: f64,
    /// Store calls per second by kind.
    pub store_calls_per_s: IndexMap<String, f64>,
    /// Requests that were due.
    pub requests: u64,
    /// Answers per second.
    pub throughput_per_s: f64,
    /// Answers within the deadline per second.
    pub goodput_per_s: f64,
    /// Latency added to that of the same requests sent straight to servers.
    pub added_latency_ms: SpreadFigures,
    /// Time until a change was in force, per change and instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms: Option<SpreadFigures>,
    /// Bytes per second that an instance sent and received without load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_bytes_per_s: Option<f64>,
    /// Processor time that an instance took without load, in milliseconds per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub processor_ms_per_s: Option<f64>,
    /// Further figures that bounds refer to.
    #[serde(skip)]
    pub extra: IndexMap<&'static str, f64>,
}

/// Median, 99th percentile and longest of some times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SpreadFigures {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max: Option<f64>,
}

impl MeasuredFigures {
    /// Names of the figures that must be 0, with their values.
    pub fn zeros(&self) -> [(&'static str, u64); 8] {
        [
            ("two_owners", self.two_owners),
            ("ran_twice", self.ran_twice),
            ("untrue_refusals", self.untrue_refusals),
            ("wrong_answers", self.wrong_answers),
            ("cut_in_flight", self.cut_in_flight),
            ("reverted", self.reverted),
            ("over_slots", self.over_slots),
            ("over_connections", self.over_connections),
        ]
    }

    /// Value of the figure that a bound names.
    pub fn value(&self, name: &str) -> Option<f64> {
        let in_force = self.in_force_ms.unwrap_or_default();
        Some(match name {
            "unavailable_ms.p99" => self.unavailable_ms.p99,
            "unavailable_ms.max" => self.unavailable_ms.max?,
            "churn" => self.churn,
            "added_latency_ms.p50" => self.added_latency_ms.p50,
            "added_latency_ms.p99" => self.added_latency_ms.p99,
            "in_force_ms.p99" => in_force.p99,
            "in_force_ms.max" => in_force.max?,
            _ => match name.strip_prefix("imbalance.") {
                Some(service) => *self.imbalance.get(service)?,
                None => *self.extra.get(name)?,
            },
        })
    }
}

impl SpreadFigures {
    /// Figures of `times`; all 0 when there are none.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram = hdrhistogram::Histogram::<u64>::new(3).expect("three digits are valid");
        for time in times {
            histogram
                .record(time.as_micros() as u64)
                .expect("the histogram resizes");
        }
        let at = |quantile| match histogram.is_empty() {
            true => 0.0,
            false => histogram.value_at_quantile(quantile) as f64 / 1_000.0,
        };
        Self {
            p50: at(0.5),
            p99: at(0.99),
            max: Some(at(1.0)),
        }
    }

    /// What these times have above `reference`.
    pub fn above(self, reference: Self) -> Self {
        let rounded = |value: f64| (value * 1_000.0).round() / 1_000.0;
        Self {
            p50: rounded(self.p50 - reference.p50),
            p99: rounded(self.p99 - reference.p99),
            max: None,
        }
    }
}
