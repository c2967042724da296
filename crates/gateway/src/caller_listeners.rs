//! Sockets on which the instance is called.

use crate::{operator_page, prelude::*, request_handler};
use metrics_exporter_prometheus::PrometheusHandle;

/// Time after which a connection without a request is closed. Longer than the time for which the
/// platform's callers reuse one, so that a close and a request do not cross.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Largest head of a caller's request, in bytes. The configuration's own bound is not known when the
/// socket is bound, so this one is above what operators set.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most headers of a caller's request.
const MAX_HEADERS: usize = 256;
/// Connections open at once from balancer and operators.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// Binds all listeners and serves them; gives the callers' connections.
pub(crate) async fn start(
    node: &Arc<GatewayNode>,
    metrics: PrometheusHandle,
) -> eyre::Result<Arc<OpenConnections>> {
    let settings = &node.settings;
    let few = HttpLimits {
        max_connections: MAX_OPERATOR_CONNECTIONS,
        ..HttpLimits::default()
    };
    let readiness = HttpListener::bind(settings.readiness_address, few).await?;
    let operators = HttpListener::bind(settings.operator_address, few).await?;
    let limits = HttpLimits {
        max_connections: settings.max_connections,
        head_timeout: IDLE_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
        max_headers: MAX_HEADERS,
    };
    let callers = HttpListener::bind(settings.caller_address, limits).await?;
    let connections = callers.connections();

    let asked = node.clone();
    let workers = &node.workers;
    workers.spawn(readiness.serve(workers.clone(), move |request| {
        let asked = asked.clone();
        async move { operator_page::readiness(&asked, &request) }
    }));
    let asked = node.clone();
    workers.spawn(operators.serve(workers.clone(), move |request| {
        let asked = asked.clone();
        let metrics = metrics.clone();
        async move { operator_page::answer(&asked, &metrics, &request) }
    }));
    let asked = node.clone();
    workers.spawn(callers.serve(workers.clone(), move |request| {
        request_handler::answer(asked.clone(), request)
    }));
    Ok(connections)
}
