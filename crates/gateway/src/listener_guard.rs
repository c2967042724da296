//! Protection of the listeners against connections that lock out others or make no progress.

use crate::prelude::*;

/// Time that a head may take beyond the configured limit. The limit is meant for callers, not for
/// an instance that reads late because it has used up its share of the processor.
const HEAD_MARGIN: Duration = Duration::from_secs(2);

/// Closes connections of `listener` that rest when it is full, and those that make no progress;
/// `head_limit` is the longest time for a head. Logs and counts them under `name`.
pub(crate) fn guard(
    node: &Arc<GatewayNode>,
    listener: HttpListener,
    name: &'static str,
    head_limit: impl Fn(&GatewayNode) -> Duration + Send + Sync + 'static,
) -> HttpListener {
    let observing_node = node.clone();
    let limiting_node = node.clone();
    let write = node.settings.answer_stall_limit;
    listener
        .replace_resting()
        .observe(move |event| report(&observing_node, name, event))
        .close_stalled(move || StallLimits {
            head: head_limit(&limiting_node),
            write,
        })
}

/// Longest time for the head of a caller's request: `longest` until there is a configuration, and
/// never more.
pub(crate) fn caller_head_limit(node: &GatewayNode, longest: Duration) -> Duration {
    let configured = node.route_table().map(|table| table.limits().head_timeout);
    configured.map_or(longest, |limit| {
        longest.min(limit.saturating_add(HEAD_MARGIN))
    })
}

/// Logs and counts a connection that was closed or refused.
pub(crate) fn report(node: &GatewayNode, name: &'static str, event: ConnectionEvent) {
    let reason = event.label();
    metrics::counter!(CLOSED_CONNECTIONS, "listener" => name, "reason" => reason).increment(1);
    if !node.log.allow("connections", node.now()) {
        return;
    }
    match event {
        ConnectionEvent::Replaced { rested, .. } => log::warn!(
            listener = name,
            reason,
            rested_ms = rested.as_millis() as u64;
            "connection closed"
        ),
        ConnectionEvent::Refused | ConnectionEvent::Stalled(_) => {
            log::warn!(listener = name, reason; "connection closed");
        }
    }
}
