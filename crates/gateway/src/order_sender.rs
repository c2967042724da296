//! Orders to servers that hold keys, as tasks.

use crate::{grant_connections::LinkFault, prelude::*};

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
        if let RenewalStep::Stop = renew_once(&node, &service, &server, &range).await {
            let now = node.now();
            node.with_key_view(&service, |view| {
                view.leader.reschedule_renewal(&range, now, RENEW_AGAIN);
            });
            break;
        }
    }
    server.unlock_orders();
}

/// What to do after one renewal.
enum RenewalStep {
    Next,
    Stop,
}

async fn renew_once(
    node: &GatewayNode,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
) -> RenewalStep {
    let Some(connection) = connect(node, service, server, range).await else {
        return RenewalStep::Stop;
    };
    // Booked once nothing but the sending is left: the hold counts from there.
    let now = node.now();
    if !node.with_key_view(service, |view| view.leader.begin_renewal(range, now)) {
        server.grants.keep(connection, now);
        return RenewalStep::Next;
    }
    match grant_over(node, service, server, connection, range, None).await {
        OrderResult::Answered(OrderAnswer::Accepted(_)) => RenewalStep::Next,
        OrderResult::NotSent => {
            node.with_key_view(service, |view| view.leader.cancel_renewal(range, now));
            RenewalStep::Stop
        }
        OrderResult::Answered(_) | OrderResult::Unanswered => RenewalStep::Stop,
    }
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
            node.with_key_view(&service, |view| {
                view.leader.finish_release(&range, handover, now);
            });
        }
        MoveStep::Grant { range, handover } => {
            let result = match node.server(&range.owner) {
                Some(server) => {
                    let handover = handover.as_deref();
                    grant_moved(&node, &service, &server, &range, handover).await
                }
                None => OrderResult::NotSent,
            };
            let taken = matches!(result, OrderResult::Answered(OrderAnswer::Accepted(_)));
            let now = node.now();
            node.with_key_view(&service, |view| {
                view.leader.finish_grant(&range, taken, now);
                if taken {
                    view.granted.insert((range.first, range.fence), now);
                }
            });
            node.keys_changed.notify(usize::MAX);
            node.heartbeat_due.notify(usize::MAX);
        }
    }
    node.order_finished.notify(usize::MAX);
}

/// Grants a range that moved to its new owner.
async fn grant_moved(
    node: &GatewayNode,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
    handover: Option<&str>,
) -> OrderResult {
    let Some(connection) = connect(node, service, server, range).await else {
        return OrderResult::NotSent;
    };
    let now = node.now();
    if !node.with_key_view(service, |view| view.leader.begin_grant(range, now)) {
        server.grants.keep(connection, now);
        return OrderResult::NotSent;
    }
    grant_over(node, service, server, connection, range, handover).await
}

/// A connection to the server, none without a word on why.
async fn connect(
    node: &GatewayNode,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
) -> Option<HttpConnection> {
    let cause = match server.grants.take(node, server).await {
        Ok(connection) => return Some(connection),
        Err(LinkFault::Unreached(error)) => {
            note(node, service, server, range, "grant", &Err(error));
            return None;
        }
        Err(LinkFault::Unproven(cause)) => cause,
    };
    metrics::counter!(ORDERS, "kind" => "grant", "result" => "unproven").increment(1);
    if node.log.allow("order", node.now()) {
        log::info!(
            service,
            server = server.incarnation().id.as_str(),
            born = server.incarnation().born,
            order = "grant",
            result = "unproven",
            cause,
            first = range.first,
            last = range.last,
            fence = range.fence;
            "order"
        );
    }
    None
}

async fn grant_over(
    node: &GatewayNode,
    service: &str,
    server: &ServerRuntime,
    mut connection: HttpConnection,
    range: &KeyRange,
    handover: Option<&str>,
) -> OrderResult {
    let order = GrantOrder {
        server_id: &server.incarnation().id,
        first: range.first,
        last: range.last,
        fence: range.fence,
        grant_duration: node.grant_duration(),
        handover,
    };
    let request = order.to_request().map(Full::new);
    let exchange = connection.exchange(request, HttpClient::MAX_ANSWER_BYTES);
    let late = async {
        Timer::after(GRANT_TIMEOUT).await;
        Err(ExchangeError::TimedOut)
    };
    let response = future::or(exchange, late).await;
    note(node, service, server, range, "grant", &response);
    match response {
        Ok(response) => {
            server.grants.keep(connection, node.now());
            OrderResult::Answered(OrderAnswer::from(&response))
        }
        Err(ExchangeError::ConnectionRefused(_) | ExchangeError::NotSent(_)) => {
            OrderResult::NotSent
        }
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
        server_id: &server.incarnation().id,
        first: range.first,
        last: range.last,
        fence: range.fence,
    };
    let response = server
        .releases
        .exchange(order.to_request().map(Full::new), RELEASE_TIMEOUT)
        .await;
    note(node, service, server, range, "release", &response);
    match OrderAnswer::from(&response.ok()?) {
        OrderAnswer::Accepted(handover) => Some(handover.unwrap_or_default()),
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
                OrderAnswer::Accepted(_) => {
                    server.order_accepted();
                    ("taken", String::new())
                }
                OrderAnswer::Superseded => ("superseded", String::new()),
                OrderAnswer::Misdirected => {
                    server.address_reused();
                    ("misdirected", String::new())
                }
                OrderAnswer::Rejected(status) => {
                    server.order_rejected(status);
                    ("rejected", status.to_string())
                }
            }
        }
        Err(error) => {
            let refused = matches!(error, ExchangeError::ConnectionRefused(_));
            let broken = refused || matches!(error, ExchangeError::Unclear(_));
            server.order_failed(broken, refused, now);
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
