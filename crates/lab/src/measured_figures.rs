//! Figures measured in one scenario.

use crate::prelude::*;
use serde::Serialize;

/// Figures of one scenario; the field names are the names of the figures in JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MeasuredFigures {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the load.
    pub seed: u64,
    /// Grants and runs that conflicted with a grant or run of another server.
    pub two_owners: u64,
    /// Non-repeatable requests that ran more than once.
    pub ran_twice: u64,
    /// Refusals and answers that contradict the servers' records of what ran.
    pub untrue_refusals: u64,
    /// Incorrect or incomplete answers.
    pub wrong_answers: u64,
    /// Requests cut by planned stops.
    pub cut_in_flight: u64,
    /// Times that an instance went back to an older configuration.
    pub reverted: u64,
    /// Runs beyond a server's number of slots.
    pub over_slots: u64,
    /// Connections beyond a server's limit.
    pub over_connections: u64,
    /// Unavailable time of each affected range of keys.
    pub unavailable_ms: DurationSummary,
    /// Busy time of the busiest server relative to the mean of the service's servers, averaged over
    /// windows of 1 s.
    pub imbalance: IndexMap<String, f64>,
    /// Ratio of the slices moved to the fewest that had to move.
    pub churn: f64,
    /// Store calls per second, by kind of call.
    pub store_calls_per_s: IndexMap<String, f64>,
    /// Requests that callers sent and that ended.
    pub requests: u64,
    /// Answered requests per second.
    pub throughput_per_s: f64,
    /// Requests answered within their deadline per second.
    pub goodput_per_s: f64,
    /// Latency beyond that of the same requests sent directly to servers.
    pub added_latency_ms: DurationSummary,
    /// Time from a change's acceptance until it was in force, by change and instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms: Option<DurationSummary>,
    /// Bytes per second that an instance sent and received without load from callers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_bytes_per_s: Option<f64>,
    /// Processor time that an instance used without load from callers, in milliseconds per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub processor_ms_per_s: Option<f64>,
    /// Figures that only bounds refer to, by name.
    #[serde(skip)]
    pub extra: IndexMap<&'static str, f64>,
}

/// Median, 99th percentile and maximum of a set of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DurationSummary {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max: Option<f64>,
}

impl MeasuredFigures {
    /// Names and values of the figures that must be 0 in every scenario.
    pub fn must_be_zero(&self) -> [(&'static str, u64); 8] {
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

    /// Value of the figure with the given name; `None` if it was not measured.
    pub fn figure(&self, name: &str) -> Option<f64> {
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

impl DurationSummary {
    /// Summarises `times`; all values are 0 if there are none.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram =
            hdrhistogram::Histogram::<u64>::new(3).expect("three significant digits are valid");
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

    /// Differences of the median and the 99th percentile from those of `reference`.
    pub fn difference_from(self, reference: Self) -> Self {
        let round = |value: f64| (value * 1_000.0).round() / 1_000.0;
        Self {
            p50: round(self.p50 - reference.p50),
            p99: round(self.p99 - reference.p99),
            max: None,
        }
    }
}
