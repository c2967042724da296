//! Applies the results of orders to what is known of their servers.

use crate::{prelude::*, server_runtime::OrderKey, warmup_worker};

/// Applies an order's result to the server's health, counts it, and logs failures and moves.
pub(crate) fn record_result(
    node: &GatewayNode,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
    kind: &'static str,
    response: &Result<Response<Bytes>, ExchangeError>,
) {
    let now = node.now();
    server.record_order(OrderKey {
        key: range.first,
        fence: range.fence,
    });
    let (result, cause) = match response {
        Ok(response) => {
            server.with_order_health(OrderHealth::record_answer);
            match OrderAnswer::from(response) {
                OrderAnswer::Accepted(_) => {
                    warmup_worker::apply_headers(node, server, response.headers());
                    server.with_order_health(OrderHealth::record_acceptance);
                    ("taken", String::new())
                }
                OrderAnswer::Superseded => ("superseded", String::new()),
                OrderAnswer::Misdirected => {
                    server.with_order_health(OrderHealth::record_other_server);
                    ("misdirected", String::new())
                }
                OrderAnswer::Rejected(status) => {
                    if status == StatusCode::BAD_REQUEST {
                        server.with_order_health(OrderHealth::record_rejection);
                    }
                    ("rejected", status.to_string())
                }
            }
        }
        Err(error) => {
            let failure = match error {
                ExchangeError::ConnectionRefused(_) => OrderFailure::Refused,
                ExchangeError::Unclear(_) | ExchangeError::ConnectionLost(_) => {
                    OrderFailure::Broken
                }
                _ => OrderFailure::Silent,
            };
            server.with_order_health(|health| health.record_failure(failure, now));
            ("unanswered", error.to_string())
        }
    };
    metrics::counter!(ORDERS, "kind" => kind, "result" => result).increment(1);
    let is_move = !range.is_settled();
    if (is_move || result != "taken") && node.log.allow("order", now) {
        log::info!(
            service,
            server = server.incarnation().id.as_str(),
            order = kind,
            result,
            cause = cause.as_str(),
            first = range.first,
            last = range.last,
            fence = range.fence;
            "order"
        );
    }
}
