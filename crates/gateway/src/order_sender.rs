//! Sends grants and releases of keys to servers.

use crate::{
    grant_connections::{ConnectError, GrantConnection, StandbyConnection},
    order_results::record_result,
    prelude::*,
    server_runtime::OrderLock,
};

/// Longest wait for the answer to a grant.
const GRANT_TIMEOUT: Duration = GrantLedger::MAX_TRANSIT.saturating_sub(Duration::from_millis(50));
/// Longest wait for the answer to a release: the server first finishes the requests on the keys.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest answer to an order, in bytes; its content is in its head.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Limits of a release.
pub(crate) const RELEASE_LIMITS: ExchangeLimits = ExchangeLimits {
    timeout: RELEASE_TIMEOUT,
    reused_timeout: RELEASE_TIMEOUT,
    stall_timeout: None,
    max_answer_bytes: MAX_ANSWER_BYTES,
};
/// Delay after which a failed renewal is sent again.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Result of sending an order.
#[derive(Debug)]
enum OrderResult {
    /// The server answered.
    Answered(OrderAnswer),
    /// No byte of the order was sent.
    NotSent,
    /// The server may have received the order but did not answer.
    Unanswered,
}

/// Renews the grants of a server's ranges one after the other, and stops at the first failure.
pub(crate) async fn renew_ranges(
    node: Arc<GatewayNode>,
    service: String,
    lock: OrderLock,
    ranges: Vec<KeyRange>,
) {
    for range in ranges {
        if let RenewalStep::Stop = renew_range(&node, &service, lock.server(), &range).await {
            let now = node.now();
            node.with_key_view(&service, |view| {
                view.leader
                    .reschedule_renewal(&range, now, RENEWAL_RETRY_DELAY);
            });
            break;
        }
    }
}

/// What to do after one renewal.
enum RenewalStep {
    Continue,
    Stop,
}

async fn renew_range(
    node: &Arc<GatewayNode>,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
) -> RenewalStep {
    let Some(connection) = take_connection(node, service, server, range).await else {
        return RenewalStep::Stop;
    };
    let standby = server.grants.open_standby(node, server).await;
    // Recorded directly before sending, since the grant's duration counts from this time.
    let now = node.now();
    if !node.with_key_view(service, |view| view.leader.begin_renewal(range, now)) {
        server.grants.keep(connection, now);
        return RenewalStep::Continue;
    }
    let path = GrantPath {
        server,
        connection,
        standby,
    };
    match send_grant(node, service, path, range, None).await {
        OrderResult::Answered(OrderAnswer::Accepted(_)) => RenewalStep::Continue,
        OrderResult::NotSent => {
            node.with_key_view(service, |view| view.leader.cancel_renewal(range, now));
            RenewalStep::Stop
        }
        OrderResult::Answered(_) | OrderResult::Unanswered => RenewalStep::Stop,
    }
}

/// Carries out one step of a move.
pub(crate) async fn run_move_step(node: Arc<GatewayNode>, service: String, step: MoveStep) {
    match step {
        MoveStep::Release { range, holder } => {
            let handover = match node.server_in_place_of(&service, &holder) {
                Some(server) => release_range(&node, &service, &server, &range).await,
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
                    grant_moved_range(&node, &service, &server, &range, handover).await
                }
                None => OrderResult::NotSent,
            };
            let accepted = matches!(result, OrderResult::Answered(OrderAnswer::Accepted(_)));
            let now = node.now();
            node.with_key_view(&service, |view| {
                view.leader.finish_grant(&range, accepted, now);
                if accepted {
                    view.granted_ranges.insert((range.first, range.fence), now);
                }
            });
            node.keys_changed.notify(usize::MAX);
            node.heartbeat_due.notify(usize::MAX);
        }
    }
    node.order_finished.notify(usize::MAX);
}

/// Grants a moved range to its new owner.
async fn grant_moved_range(
    node: &Arc<GatewayNode>,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
    handover: Option<&str>,
) -> OrderResult {
    let Some(connection) = take_connection(node, service, server, range).await else {
        return OrderResult::NotSent;
    };
    let now = node.now();
    if !node.with_key_view(service, |view| view.leader.begin_grant(range, now)) {
        server.grants.keep(connection, now);
        return OrderResult::NotSent;
    }
    let path = GrantPath {
        server,
        connection,
        standby: None,
    };
    send_grant(node, service, path, range, handover).await
}

/// Takes a connection to the server that may carry the range's fence. Logs and counts a failure, and then
/// returns `None`.
async fn take_connection(
    node: &Arc<GatewayNode>,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
) -> Option<GrantConnection> {
    let cause = match server.grants.take(node, server, range.fence).await {
        Ok(connection) => return Some(connection),
        Err(ConnectError::Unreachable(error)) => {
            record_result(node, service, server, range, "grant", &Err(error));
            return None;
        }
        Err(ConnectError::Unconfirmed) => {
            "leadership not confirmed since the connection was opened"
        }
        Err(ConnectError::FenceUsed) => {
            node.with_key_view(service, |view| view.is_raise_due = true);
            "fence was sent before the connection was opened"
        }
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

/// Connection for a grant, and a standby connection that its answer proves.
struct GrantPath<'a> {
    server: &'a ServerRuntime,
    connection: GrantConnection,
    standby: Option<StandbyConnection>,
}

async fn send_grant(
    node: &GatewayNode,
    service: &str,
    path: GrantPath<'_>,
    range: &KeyRange,
    handover: Option<&str>,
) -> OrderResult {
    let GrantPath {
        server,
        mut connection,
        standby,
    } = path;
    let order = GrantOrder {
        server_id: &server.incarnation().id,
        first: range.first,
        last: range.last,
        fence: range.fence,
        grant_duration: node.grant_duration(),
        handover,
    };
    let request = order.to_request().map(Full::new);
    let exchange = connection.http.exchange(request, MAX_ANSWER_BYTES);
    let timeout = async {
        Timer::after(GRANT_TIMEOUT).await;
        Err(ExchangeError::TimedOut)
    };
    let response = future::or(exchange, timeout).await;
    record_result(node, service, server, range, "grant", &response);
    match response {
        Ok(response) => {
            server.grants.keep_answered(connection, standby, node.now());
            OrderResult::Answered(OrderAnswer::from(&response))
        }
        Err(ExchangeError::ConnectionRefused(_) | ExchangeError::NotSent(_)) => {
            OrderResult::NotSent
        }
        Err(error) => {
            if let ExchangeError::TimedOut = error {
                server.grants.close_doubtful(node, service);
            }
            OrderResult::Unanswered
        }
    }
}

/// Builds the request by which a server releases a range.
pub(crate) fn release_request(server: &ServerRuntime, range: &KeyRange) -> Request<Full<Bytes>> {
    let order = ReleaseOrder {
        server_id: &server.incarnation().id,
        first: range.first,
        last: range.last,
        fence: range.fence,
    };
    order.to_request().map(Full::new)
}

/// Releases a range. Returns the server's handover data, or `None` if the server did not accept.
async fn release_range(
    node: &GatewayNode,
    service: &str,
    server: &ServerRuntime,
    range: &KeyRange,
) -> Option<String> {
    let response = server
        .releases
        .exchange_within(release_request(server, range), RELEASE_LIMITS)
        .await
        .and_then(|response| reject_copy(server, response));
    record_result(node, service, server, range, "release", &response);
    match OrderAnswer::from(&response.ok()?) {
        OrderAnswer::Accepted(handover) => handover,
        OrderAnswer::Superseded | OrderAnswer::Misdirected | OrderAnswer::Rejected(_) => None,
    }
}

/// Fails for an answer that accepts a release without a handover of its own. Its connection is
/// closed, since the true answer may still come there.
fn reject_copy(
    server: &ServerRuntime,
    response: Response<Bytes>,
) -> Result<Response<Bytes>, ExchangeError> {
    if let OrderAnswer::Accepted(handover) = OrderAnswer::from(&response)
        && !server.record_handover(handover.as_deref())
    {
        server.releases.close_all_idle();
        let cause = "answer to a release without a handover of its own";
        return Err(ExchangeError::Unclear(cause.into()));
    }
    Ok(response)
}
