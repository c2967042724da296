//! Accepts requests of instances that do not reach the servers.

use crate::{descriptor_plan::DescriptorPlan, listener_guard::guard, prelude::*, request_handler};

/// Largest head of a request, in bytes: a caller's head and the relay headers.
const MAX_HEAD_BYTES: usize = 80 << 10;
/// Largest number of headers of a request.
const MAX_HEADERS: usize = 260;
/// Time after which a connection without a request is closed; longer than the other side keeps it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Binds and serves the address for other instances, if there is one.
pub(crate) async fn start(node: &Arc<GatewayNode>) -> eyre::Result<()> {
    let Some(address) = node.settings.relay_address else {
        return Ok(());
    };
    let limits = HttpLimits {
        max_connections: DescriptorPlan::from(&node.settings).relay,
        head_timeout: IDLE_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
        max_headers: MAX_HEADERS,
    };
    let listener = HttpListener::bind(address, limits).await?;
    let listener = guard(node, listener, "relay", |_| IDLE_TIMEOUT);
    let handler_node = node.clone();
    let workers = &node.workers;
    workers.spawn(listener.serve(workers.clone(), move |request| {
        request_handler::handle_relayed(handler_node.clone(), request)
    }));
    Ok(())
}
