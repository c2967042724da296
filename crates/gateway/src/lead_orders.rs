//! Orders to servers that hold keys, as tasks.

use crate::prelude::*;

/// Longest time until a grant is answered.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time until a release is answered: work that runs on the keys ends first.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a renewal that was not answered is sent again.
const RENEW_AGAIN: Duration = Duration::from_millis(250);

/// What became of an order.
#[derive(Debug)]
enum OrderResult {
    /// The server answered.
    Answered(OrderAnswer),
    /// No byte of it left.
    NotSent,
    /// It may have arrived.
    Unanswered,
}

/// Renews a server's ranges one after the other.
pub(crate) async fn renew(
    node: Arc<GatewayNode>,
    service: String,
    server: Arc<ServerRuntime>,
    ranges: Vec<KeyRange>,
) {
    for range in ranges {
        let now = node.now();
        if !node.with_keys(&service, |view| view.lead.begin_renewal(&range, now)) {
            continue;
        }
        let result = grant_once(&node, &service, &server, &range, None).await;
        if let OrderResult::Answered(OrderAnswer::Taken(_)) = result {
            continue;
        }
        let failed_at = node.now();
        node.with_keys(&service, |view| {
            if let OrderResult::NotSent = result {
                view.lead.renewal_not_sent(&range, now);
            }
            view.lead.renewal_failed(&range, failed_at, RENEW_AGAIN);
        });
        break;
    }
    server.end_order_turn();
}

/// Carries one step of a move out.
pub(crate) async fn step(node: Arc<GatewayNode>, service: String, step: MoveStep) {
    match step {
        MoveStep::Release { range, holder } => {
            let handover = match node.server(&holder) {
                Some(server) => release(&node, &service, &server, &range).await,
                None => None,
            };
            let now = node.now();
            node.with_keys(&service, |view| view.lead.released(&range, handover, now));
        }
        MoveStep::Grant { range, handover } => {
            let result = match node.server(&range.owner) {
                Some(server) => {
                    grant_once(&node, &service, &server, &range, handover.as_deref()).await
                }
                None => OrderResult::NotSent,
            };
            let taken = matches!(result, OrderResult::Answered(OrderAnswer::Taken(_)));
            let now = node.now();
            node.with_keys(&service, |view| {
                view.lead.granted(&range, taken, now);
                if taken {
                    view.granted.insert((range.first, range.fence), now);
                }
            });
            node.keys_changed.notify(usize::MAX);
            node.beat_due.notify(usize::MAX);
        }
    }
    node.lead_due.notify(usize::MAX);
}

async fn grant_once(
    node: &GatewayNode,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
    handover: Option<&str>,
) -> OrderResult {
    let order = GrantOrder {
        server_id: &server.mark().id,
        first: range.first,
        last: range.last,
        fence: range.fence,
        hold: node.hold(),
        handover,
    };
    let response = server
        .orders
        .exchange(order.to_request().map(Full::new), GRANT_TIMEOUT)
        .await;
    note(node, service, server, range, "grant", &response);
    match response {
        Ok(response) => OrderResult::Answered(OrderAnswer::from(&response)),
        Err(ExchangeError::Refused(_) | ExchangeError::NotSent(_)) => OrderResult::NotSent,
        Err(_) => OrderResult::Unanswered,
    }
}

/// What the server hands over, none without an answer.
async fn release(
    node: &GatewayNode,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
) -> Option<String> {
    let order = ReleaseOrder {
        server_id: &server.mark().id,
        first: range.first,
        last: range.last,
        fence: range.fence,
    };
    let response = server
        .orders
        .exchange(order.to_request().map(Full::new), RELEASE_TIMEOUT)
        .await;
    note(node, service, server, range, "release", &response);
    match OrderAnswer::from(&response.ok()?) {
        OrderAnswer::Taken(handover) => Some(handover.unwrap_or_default()),
        OrderAnswer::Superseded | OrderAnswer::Misdirected | OrderAnswer::Rejected(_) => None,
    }
}

/// Takes an order's result into the server's health, and tells of failures.
fn note(
    node: &GatewayNode,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
    kind: &'static str,
    response: &Result<Response<Bytes>, ExchangeError>,
) {
    let now = node.now();
    let (result, cause) = match response {
        Ok(response) => {
            server.order_answered();
            match OrderAnswer::from(response) {
                OrderAnswer::Taken(_) => {
                    server.order_taken();
                    ("taken", String::new())
                }
                OrderAnswer::Superseded => ("superseded", String::new()),
                OrderAnswer::Misdirected => {
                    server.address_taken();
                    ("misdirected", String::new())
                }
                OrderAnswer::Rejected(status) => {
                    server.order_rejected(status);
                    ("rejected", status.to_string())
                }
            }
        }
        Err(error) => {
            let refused = matches!(error, ExchangeError::Refused(_));
            let broken = refused || matches!(error, ExchangeError::Unclear(_));
            server.order_failed(broken, refused, now);
            ("unanswered", error.to_string())
        }
    };
    metrics::counter!(ORDERS, "kind" => kind, "result" => result).increment(1);
    let is_move = !range.is_settled();
    if (is_move || result != "taken") && node.log.admit("order", now) {
        log::info!(
            service,
            server = server.mark().id.as_str(),
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
