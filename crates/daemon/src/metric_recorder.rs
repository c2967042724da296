//! The metrics recorder of the process.

use crate::metric_table::{CALLER_SECONDS, METRICS, MetricKind};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Upper bounds of the histogram buckets of request durations, in seconds.
const DURATION_BUCKETS: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.014, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0,
];

/// Returns the recorder's handle, installing the recorder on the first call; all instances of a
/// process share it.
pub(crate) fn install() -> &'static PrometheusHandle {
    HANDLE.get_or_init(|| {
        let buckets = Matcher::Full(CALLER_SECONDS.into());
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(buckets, &DURATION_BUCKETS)
            .expect("buckets are not empty")
            .build_recorder();
        let handle = recorder.handle();
        // Fails if the process has a global recorder already; this handle then stays empty.
        let _ = metrics::set_global_recorder(recorder);
        for spec in METRICS {
            match spec.kind {
                MetricKind::Counter => metrics::describe_counter!(spec.name, spec.unit, spec.help),
                MetricKind::Gauge => metrics::describe_gauge!(spec.name, spec.unit, spec.help),
                MetricKind::Histogram => {
                    metrics::describe_histogram!(spec.name, spec.unit, spec.help);
                }
            }
        }
        handle
    })
}
