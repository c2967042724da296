//! Log lines on requests that are not served.

use crate::prelude::*;

/// Logs a request for which there is no route.
pub(crate) fn log_missing_route(
    node: &GatewayNode,
    headers: &RequestHeaders,
    table: &RouteTable,
    host: &str,
    path: &str,
) {
    if node.log.allow("no-route", node.now()) {
        log::info!(
            id = headers.id_text(),
            host,
            path,
            revision = table.revision();
            "no route for the request"
        );
    }
}

/// Logs a refused request.
pub(crate) fn log_refusal(
    node: &GatewayNode,
    headers: &RequestHeaders,
    service: &str,
    route: &str,
    reason: RefusalReason,
    arrived_at: MonoTime,
) {
    let now = node.now();
    if node.log.allow("refusal", now) {
        log::info!(
            id = headers.id_text(),
            service,
            route,
            reason = reason.label(),
            key = headers.key.map_or(-1, i64::from),
            key_revision:% = node.key_revision(service).unwrap_or_default(),
            revision = node.route_table().map_or(0, |table| table.revision()),
            after_ms = now.since(arrived_at).as_millis() as u64;
            "request refused"
        );
    }
}

/// Logs the load of the servers when a request was refused.
pub(crate) fn log_refusal_load(
    node: &GatewayNode,
    call: &CallerCall,
    reason: RefusalReason,
    view: LoadView,
) {
    let now = node.now();
    if node.log.allow("load", now) {
        log::info!(
            id = call.headers.id_text(),
            service = call.service.as_str(),
            reason = reason.label(),
            servers = view.servers,
            resting = view.ejected,
            with_room = view.with_room,
            waiting = view.waiting,
            least_expected_ms = view.min_expected.as_millis().min(100_000) as u64,
            target_left_ms = call.target_time_left(now).as_millis() as u64,
            left_ms = call.time_left(now).as_millis() as u64,
            sends = call.progress.attempts_sent.load(Ordering::Relaxed);
            "load at a refusal"
        );
    }
}

/// Logs a request that may have run and has no answer.
pub(crate) fn log_failure(
    node: &GatewayNode,
    call: &CallerCall,
    reason: FailureReason,
    took: Duration,
) {
    if node.log.allow("failure", node.now()) {
        log::info!(
            id = call.headers.id_text(),
            service = call.service.as_str(),
            route = call.route.name.as_str(),
            content = call.identity().to_string().as_str(),
            reason = reason.label(),
            sends = call.progress.attempts_sent.load(Ordering::Relaxed),
            revision = call.configuration_revision,
            after_ms = took.as_millis() as u64;
            "request failed"
        );
    }
}
