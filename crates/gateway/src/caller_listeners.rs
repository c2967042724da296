//! HTTP listeners for callers, for the load balancer's readiness probe and for operators.

use crate::{
    descriptor_plan::DescriptorPlan,
    listener_guard::{caller_head_limit, guard},
    operator_page,
    prelude::*,
    request_handler,
};
use metrics_exporter_prometheus::PrometheusHandle;

/// Time after which a connection without a request is closed. Longer than the platform's callers
/// keep idle connections, so that a close does not race with a new request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum size of a request head, in bytes. The configured limit is not known yet when the socket
/// is bound, so this one is larger than any that operators configure.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of headers in a caller's request.
const MAX_HEADERS: usize = 256;

/// Binds and serves all listeners; returns the connections of the callers' listener.
pub(crate) async fn start(
    node: &Arc<GatewayNode>,
    metrics: PrometheusHandle,
) -> eyre::Result<Arc<OpenConnections>> {
    let settings = &node.settings;
    let plan = DescriptorPlan::from(settings);
    let operator_limits = HttpLimits {
        max_connections: plan.operators,
        ..HttpLimits::default()
    };
    let readiness = HttpListener::bind(settings.readiness_address, operator_limits).await?;
    let operators = HttpListener::bind(settings.operator_address, operator_limits).await?;
    let limits = HttpLimits {
        max_connections: plan.callers,
        head_timeout: IDLE_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
        max_headers: MAX_HEADERS,
    };
    let callers = HttpListener::bind(settings.caller_address, limits).await?;
    let connections = callers.connections();
    let operator_head_limit = move |_: &GatewayNode| operator_limits.head_timeout;
    let readiness = guard(node, readiness, "readiness", operator_head_limit);
    let operators = guard(node, operators, "operators", operator_head_limit);
    let callers = guard(node, callers, "callers", |node| {
        caller_head_limit(node, IDLE_TIMEOUT)
    });

    let handler_node = node.clone();
    let workers = &node.workers;
    workers.spawn(readiness.serve(workers.clone(), move |request| {
        let handler_node = handler_node.clone();
        async move { operator_page::readiness(&handler_node, &request) }
    }));
    let handler_node = node.clone();
    workers.spawn(operators.serve(workers.clone(), move |request| {
        let handler_node = handler_node.clone();
        let metrics = metrics.clone();
        async move { operator_page::respond(&handler_node, &metrics, &request) }
    }));
    let handler_node = node.clone();
    workers.spawn(callers.serve(workers.clone(), move |request| {
        request_handler::handle(handler_node.clone(), request)
    }));
    Ok(connections)
}
