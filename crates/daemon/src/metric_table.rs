//! Names, units and help texts of all metrics.

use metrics::Unit;

/// Description of one metric.
pub(crate) struct MetricSpec {
    /// Name, with the unit where there is one.
    pub(crate) name: &'static str,
    /// Kind of metric.
    pub(crate) kind: MetricKind,
    /// Unit of the value.
    pub(crate) unit: Unit,
    /// Help text of the exposition.
    pub(crate) help: &'static str,
}

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MetricKind {
    /// Only increases.
    Counter,
    /// Current value.
    Gauge,
    /// Distribution of values.
    Histogram,
}

/// Answered requests of callers, by service, outcome and reason.
pub(crate) const CALLER_REQUESTS: &str = "geraniummast_caller_requests_total";
/// Time from a request's head to its answer, by service.
pub(crate) const CALLER_SECONDS: &str = "geraniummast_caller_request_duration_seconds";
/// Requests in flight, of callers and of other instances.
pub(crate) const IN_FLIGHT: &str = "geraniummast_requests_in_flight";
/// Open connections by listener.
pub(crate) const CONNECTIONS: &str = "geraniummast_connections";
/// Connections refused at the connection limit, by listener.
pub(crate) const CONNECTIONS_REFUSED: &str = "geraniummast_connections_refused_total";
/// Revision of the configuration in force.
pub(crate) const REVISION: &str = "geraniummast_configuration_revision";
/// 1 while the instance is ready for callers, else 0.
pub(crate) const READY: &str = "geraniummast_ready";
/// Number of parts that the instance leads.
pub(crate) const PARTS_LED: &str = "geraniummast_parts_led";
/// Slices of led parts that have an owner without a valid grant.
pub(crate) const SLICES_UNAVAILABLE: &str = "geraniummast_slices_unavailable";
/// Calls of the store, by kind.
pub(crate) const STORE_CALLS: &str = "geraniummast_store_calls_total";
/// Health of the store, as a number.
pub(crate) const STORE_STATE: &str = "geraniummast_store_state";
/// Time since the store or a peer last confirmed the configuration.
pub(crate) const FEED_AGE: &str = "geraniummast_feed_age_seconds";
/// Bytes of the change feed, by direction.
pub(crate) const FEED_BYTES: &str = "geraniummast_feed_bytes_total";
/// Replies of peers that arrived after their call had timed out or was cancelled.
pub(crate) const LATE_REPLIES: &str = "geraniummast_late_replies_total";
/// Answers of servers that do not belong to the request sent.
pub(crate) const WRONG_ANSWERS: &str = "geraniummast_wrong_answers_total";

/// All metrics.
pub(crate) const METRICS: &[MetricSpec] = &[
    counter(
        CALLER_REQUESTS,
        "Requests of callers answered, by service, whether they ran, and reason",
    ),
    counter(
        LATE_REPLIES,
        "Replies of peers dropped because nobody waited for them any more",
    ),
    counter(
        WRONG_ANSWERS,
        "Answers of servers dropped because they were not to the request sent",
    ),
    MetricSpec {
        name: CALLER_SECONDS,
        kind: MetricKind::Histogram,
        unit: Unit::Seconds,
        help: "Time from a caller's request to its answer, by service",
    },
    gauge(
        IN_FLIGHT,
        "Requests held now, of callers and of other instances",
    ),
    gauge(CONNECTIONS, "Open connections by listener"),
    counter(
        CONNECTIONS_REFUSED,
        "Connections closed at the bound, or for lack of a proof",
    ),
    gauge(REVISION, "Revision of the configuration in force"),
    gauge(READY, "1 when callers may be sent here, else 0"),
    gauge(PARTS_LED, "Parts that this instance leads"),
    gauge(
        SLICES_UNAVAILABLE,
        "Slices of led parts without an owner or a standing grant",
    ),
    counter(
        STORE_CALLS,
        "Calls of the store by kind; a waiting watch is one",
    ),
    gauge(
        STORE_STATE,
        "Health of the store: 0 up, 1 slow, 2 down, 3 not called yet",
    ),
    MetricSpec {
        name: FEED_AGE,
        kind: MetricKind::Gauge,
        unit: Unit::Seconds,
        help: "Time since the store or a peer last confirmed the configuration",
    },
    MetricSpec {
        name: FEED_BYTES,
        kind: MetricKind::Counter,
        unit: Unit::Bytes,
        help: "Bytes of the change feed between instances, by direction",
    },
];

const fn counter(name: &'static str, help: &'static str) -> MetricSpec {
    MetricSpec {
        name,
        kind: MetricKind::Counter,
        unit: Unit::Count,
        help,
    }
}

const fn gauge(name: &'static str, help: &'static str) -> MetricSpec {
    MetricSpec {
        kind: MetricKind::Gauge,
        ..counter(name, help)
    }
}
