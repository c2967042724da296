//! Tells which servers the leader gives no keys.

use crate::prelude::*;

/// Compares the state of a service's servers with what was known of it; logs and counts changes.
pub(crate) fn update(node: &GatewayNode, service: &str, table: &mut ExclusionTable) {
    let now = node.now();
    let servers = node.usable_servers(service);
    let states = servers
        .iter()
        .map(|server| (server.incarnation(), server.key_exclusion(now)));
    for change in table.update(states, now) {
        record_change(node, service, &change);
    }
}

/// Forgets what orders of an earlier term have told of a service's servers: they have had orders of
/// other leaders since.
pub(crate) fn clear(node: &GatewayNode, service: &str, table: &mut ExclusionTable) {
    *table = ExclusionTable::default();
    for server in node.usable_servers(service).iter() {
        server.with_order_health(OrderHealth::forget_orders);
    }
}

fn record_change(node: &GatewayNode, service: &str, change: &ExclusionChange) {
    let (label, after) = match change.ended_after {
        None => ("began", Duration::ZERO),
        Some(after) => ("ended", after),
    };
    let reason = change.reason.label();
    metrics::counter!(KEY_EXCLUSIONS, "change" => label, "reason" => reason).increment(1);
    if node.log.allow("exclusion", node.now()) {
        let server = change.server.to_string();
        let server = server.as_str();
        let after_ms = after.as_millis() as u64;
        log::info!(service, server, change = label, reason, after_ms; "exclusion from keys");
    }
}
