//! Updates gauges and counters from the state of the instance.

use crate::{metric_recorder, metric_table::*, prelude::*};

/// Interval of updates.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Updates the metrics until the pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    let handle = metric_recorder::install();
    loop {
        set_gauges(&node);
        handle.run_upkeep();
        Timer::after(UPDATE_INTERVAL).await;
    }
}

/// Updates all gauges, and the counters that are kept elsewhere.
pub(crate) fn set_gauges(node: &InstanceNode) {
    let instance = &node.settings.name;
    let gauge = |name, value: f64| {
        metrics::gauge!(name, "instance" => instance.clone()).set(value);
    };
    gauge(IN_FLIGHT, node.in_flight() as f64);
    gauge(REVISION, node.tables.gate.lock().unwrap().revision() as f64);
    gauge(READY, f64::from(u8::from(node.is_ready())));
    gauge(STORE_STATE, f64::from(node.store.state() as u8));
    let feed_age = node.clock.now().since(node.feed.contact_times().latest());
    gauge(FEED_AGE, feed_age.as_secs_f64());
    for (direction, bytes) in [("in", &node.feed.bytes_in), ("out", &node.feed.bytes_out)] {
        let labels = [
            ("instance", instance.clone()),
            ("direction", direction.into()),
        ];
        metrics::counter!(FEED_BYTES, &labels).absolute(bytes.load(Ordering::Relaxed));
    }
    let (led, unavailable) = count_led(node);
    gauge(PARTS_LED, led as f64);
    gauge(SLICES_UNAVAILABLE, unavailable as f64);
    for (listener, connections) in node.connections.by_listener() {
        let labels = [
            ("instance", instance.clone()),
            ("listener", listener.into()),
        ];
        metrics::gauge!(CONNECTIONS, &labels).set(connections.count() as f64);
        metrics::counter!(CONNECTIONS_REFUSED, &labels).absolute(connections.refused());
    }
    for (kind, calls) in node.store.calls() {
        let labels = [("instance", instance.clone()), ("kind", kind)];
        metrics::counter!(STORE_CALLS, &labels).absolute(calls);
    }
}

/// Number of parts that this instance leads, and of their slices that have an owner without a valid
/// grant.
pub(crate) fn count_led(node: &InstanceNode) -> (usize, usize) {
    let now = node.clock.now();
    let led = node.tables.led_parts.lock().unwrap();
    let unavailable = led.values().map(|part| {
        let is_available = |entry: &SliceEntry| {
            entry.owner.as_ref().is_none_or(|owner| {
                part.grants
                    .granted_until(owner, KeyHash(entry.start))
                    .is_some_and(|until| until > now)
            })
        };
        let slices = part.record.slices.iter();
        slices.filter(|entry| !is_available(entry)).count()
    });
    (led.len(), unavailable.sum())
}

/// Counts an answered request of a caller and records its duration.
pub(crate) fn count_answer(
    node: &InstanceNode,
    service: &str,
    response: &Response<Full<Bytes>>,
    elapsed: Duration,
) {
    let header = |name| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("none")
            .to_string()
    };
    let instance = node.settings.name.clone();
    let labels = [
        ("instance", instance.clone()),
        ("service", service.to_string()),
        ("ran", header("geraniummast-ran")),
        ("reason", header("geraniummast-reason")),
    ];
    metrics::counter!(CALLER_REQUESTS, &labels).increment(1);
    let labels = [("instance", instance), ("service", service.to_string())];
    metrics::histogram!(CALLER_SECONDS, &labels).record(elapsed.as_secs_f64());
}
