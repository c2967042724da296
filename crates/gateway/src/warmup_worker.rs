//! Keeps track of cold servers, and of the bound on the requests that each of them gets.
//!
//! While a server is cold and its service has a rate for cold servers, that rate is a limit like one
//! that the server names itself: `quota_worker` shares it among all instances.

use crate::{peer_heartbeat::ColdServer, prelude::*, server_reservation::ServerReservation};
use http::HeaderMap;

/// Largest number of cold servers in a heartbeat, which has to fit one datagram.
pub(crate) const MAX_COLD: usize = 16;

/// Rate of tokens for each cold server of a service, per second; `None` without a bound.
pub(crate) fn cold_rate(node: &GatewayNode, service: &str) -> Option<f64> {
    let bound = node.settings.warmup_bound()?;
    let per_second = node.route_table()?.services().get(service)?.cold_rate?;
    Some(bound.rate(per_second))
}

/// Whether a server is cold and its requests are bounded for that reason.
pub(crate) fn is_bounded(node: &GatewayNode, server: &ServerRuntime, now: MonoTime) -> bool {
    let is_cold = server.quota.lock().warmup.is_cold(now);
    is_cold && cold_rate(node, &server.entry.service).is_some()
}

/// Whether a reserved request may be sent now. A server that has become cold since gets it only with
/// a token, and that only for a short time, so that no requests gather while they connect.
pub(crate) fn may_send(node: &GatewayNode, reservation: &ServerReservation, now: MonoTime) -> bool {
    if !is_bounded(node, &reservation.server, now) {
        return true;
    }
    let age = now.since(reservation.reserved_at);
    reservation.is_cold && age < WarmupBound::SENDING_TIME
}

/// Applies what the headers of an answer to a health check or an order say of the server's warm-up,
/// unless another server gave it.
pub(crate) fn apply_headers(node: &GatewayNode, server: &ServerRuntime, headers: &HeaderMap) {
    if node.settings.warmup_bound().is_none() {
        return;
    }
    let headers = ServerHeaders::from(headers);
    let id = &server.incarnation().id;
    if headers.server_id.is_none_or(|answering| answering == *id) {
        apply_answer(node, server, headers.warmup_left);
    }
}

/// Applies what an answer of a server says of its warm-up.
pub(crate) fn apply_answer(node: &GatewayNode, server: &ServerRuntime, left: Option<Duration>) {
    let Some(left) = left.filter(|left| !left.is_zero()) else {
        return;
    };
    let now = node.now();
    if update(node, server, "answer", |warmup| {
        warmup.apply_answer(left, now)
    }) {
        node.heartbeat_due.notify(usize::MAX);
    }
}

/// Applies what another instance knows of a server's warm-up.
pub(crate) fn apply_report(node: &GatewayNode, server: &ServerRuntime, left: Duration) {
    let now = node.now();
    update(node, server, "peer", |warmup| {
        warmup.apply_report(left, now)
    });
}

/// Treats the servers of a data centre that was returned to service at `since` as cold for as long as
/// their services say: their entries tell of it only later. May be called again, with the same time.
pub(crate) fn presume_cold(node: &GatewayNode, data_centre: &str, since: MonoTime) {
    let Some(table) = node.route_table() else {
        return;
    };
    let now = node.now();
    let mut servers = node.all_servers();
    servers.retain(|server| server.entry.data_centre == data_centre);
    for server in servers {
        if let Some(config) = table.services().get(&server.entry.service) {
            let end = since.after(config.cold_time);
            update(node, &server, "evacuation", |warmup| {
                warmup.presume(end, now)
            });
        }
    }
}

/// Logs that a server has become cold, and drops the tokens that were granted before.
pub(crate) fn record_cold(
    node: &GatewayNode,
    server: &ServerRuntime,
    left: Duration,
    source: &'static str,
) {
    let service = server.entry.service.as_str();
    let Some(per_second) = cold_rate(node, service) else {
        return;
    };
    server.quota.lock().drop_tokens();
    metrics::counter!(COLD_PERIODS).increment(1);
    if node.log.allow("cold", node.now()) {
        let id = server.incarnation().id.as_str();
        let left_ms = left.as_millis() as u64;
        log::info!(server = id, service, left_ms, per_second, source; "server is cold");
    }
}

/// Logs that a server has become warm, if it has since the last call.
pub(crate) fn record_end(node: &GatewayNode, server: &ServerRuntime, now: MonoTime) {
    let has_ended = server.quota.lock().warmup.take_end(now);
    let service = server.entry.service.as_str();
    if has_ended && cold_rate(node, service).is_some() && node.log.allow("warm", now) {
        log::info!(server = server.incarnation().id.as_str(), service; "server is warm");
    }
}

/// Cold servers to tell other instances of. A leader also passes on what it was told.
pub(crate) fn cold_servers(node: &GatewayNode, is_leader: bool, now: MonoTime) -> Vec<ColdServer> {
    if node.settings.warmup_bound().is_none() {
        return Vec::new();
    }
    let servers = node.servers.lock();
    let cold = servers.values().filter_map(|server| {
        let left = server.quota.lock().warmup.report(is_leader, now)?;
        let server = server.incarnation().clone();
        Some(ColdServer { server, left })
    });
    cold.take(MAX_COLD).collect()
}

/// Applies a word about a server whose requests are bounded while it is cold; returns whether it
/// has become cold.
fn update(
    node: &GatewayNode,
    server: &ServerRuntime,
    source: &'static str,
    apply: impl FnOnce(&mut ServerWarmup) -> WarmupChange,
) -> bool {
    if cold_rate(node, &server.entry.service).is_none() {
        return false;
    }
    let change = apply(&mut server.quota.lock().warmup);
    match change {
        WarmupChange::Cold(left) => {
            record_cold(node, server, left, source);
            true
        }
        WarmupChange::Unchanged => false,
    }
}
