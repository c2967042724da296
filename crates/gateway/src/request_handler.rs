//! Handles a caller's request from its arrival to the response.

use crate::{
    body_reader::{self, BodyTerms},
    body_refusal::{self, RefusedBody},
    hop_headers, local_response,
    prelude::*,
    relay_terms::{RelayOutcome, RelayTerms},
    request_dispatch,
    request_log::{log_failure, log_missing_route, log_refusal, log_refusal_load},
    service_choice::{self, ServiceChoice},
};
use futures_lite::FutureExt;
use http::header;
use hyper::body::Incoming;
use std::panic::AssertUnwindSafe;

/// Timeout of a caller that does not send one.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// `Retry-After` while no configuration has been received, and when the deadline passes before
/// any server has run the request.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` for a route that has no service to send requests to: only a new configuration
/// can change that.
const NO_SERVICE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` from a stopping instance: other instances can serve the caller at once.
pub(crate) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Answers a caller's request.
pub(crate) async fn handle(
    node: Arc<GatewayNode>,
    request: Request<Incoming>,
) -> Response<MessageBody> {
    let headers = RequestHeaders::from(request.headers());
    answer_or_fail(&headers, route_request(node, request, None)).await
}

/// Answers a request that another instance sent because it does not reach the servers.
pub(crate) async fn handle_relayed(
    node: Arc<GatewayNode>,
    mut request: Request<Incoming>,
) -> Response<MessageBody> {
    let headers = RequestHeaders::from(request.headers());
    let terms = RelayTerms::take(request.headers_mut());
    let answer = async {
        let Some(terms) = terms else {
            let reason = "no-terms";
            return local_response::with_reason(&headers, StatusCode::BAD_REQUEST, reason);
        };
        node.compare_configuration(terms.revision);
        let mut response = route_request(node.clone(), request, Some(terms)).await;
        RelayOutcome::set_if_missing(response.headers_mut());
        let revision = node.route_table().map_or(0, |table| table.revision());
        RelayOutcome::set_revision(revision, response.headers_mut());
        response
    };
    answer_or_fail(&headers, answer).await
}

/// Runs `answer`. If it panics, the caller gets a failure that leaves open whether the request ran.
pub(crate) async fn answer_or_fail(
    headers: &RequestHeaders,
    answer: impl Future<Output = Response<MessageBody>>,
) -> Response<MessageBody> {
    let answered = AssertUnwindSafe(answer).catch_unwind().await;
    answered.unwrap_or_else(|_| {
        log::error!(id = headers.id_text(); "request handler panicked");
        local_response::with_reason(headers, StatusCode::BAD_GATEWAY, "internal-error")
    })
}

async fn route_request(
    node: Arc<GatewayNode>,
    request: Request<Incoming>,
    terms: Option<RelayTerms>,
) -> Response<MessageBody> {
    let arrived_at = node.now();
    let (parts, mut body) = request.into_parts();
    let headers = RequestHeaders::from(&parts.headers);
    let Some(table) = node.route_table() else {
        let reason = RefusalReason::NoConfiguration;
        log_refusal(&node, &headers, "-", "-", reason, arrived_at);
        return local_response::refusal(&headers, reason, DEFAULT_RETRY_AFTER);
    };
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let Some(route) = table.find(host, parts.uri.path()) else {
        log_missing_route(&node, &headers, &table, host, parts.uri.path());
        return local_response::with_reason(&headers, StatusCode::NOT_FOUND, "no-route");
    };
    if !node.accepts_request(headers.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT)) {
        let reason = RefusalReason::Stopping;
        log_refusal(&node, &headers, "-", &route.name, reason, arrived_at);
        return local_response::refusal(&headers, reason, STOPPING_RETRY_AFTER);
    }
    if parts.headers.contains_key(header::CONTENT_LENGTH)
        && parts.headers.contains_key(header::TRANSFER_ENCODING)
    {
        return local_response::with_reason(&headers, StatusCode::BAD_REQUEST, "two-lengths");
    }
    let caller_timeout = headers.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let terms_of_body = BodyTerms {
        memory: &node.body_memory,
        max_bytes: table.limits().max_body_bytes,
        limits: node.settings.memory.body_limits(),
        stopping: &node.cancel_pending,
        deadline: arrived_at.after(caller_timeout.min(route.timeout)),
        priority: route.priority,
    };
    let announced_bytes = announced_bytes(&body);
    let body = match body_reader::read(&mut body, terms_of_body).await {
        Ok(body) => body,
        Err(error) => {
            let refused = RefusedBody {
                headers: &headers,
                route,
                arrived_at,
                error,
                announced_bytes,
            };
            return body_refusal::answer(&node, &refused);
        }
    };
    let service = match service_choice::choose(&node, route, terms.as_ref()) {
        ServiceChoice::Selected(service) => service,
        ServiceChoice::NoService => {
            let reason = RefusalReason::NoServer;
            log_refusal(&node, &headers, "-", &route.name, reason, arrived_at);
            return local_response::refusal(&headers, reason, NO_SERVICE_RETRY_AFTER);
        }
        ServiceChoice::OtherConfiguration => {
            let reason = RefusalReason::OtherConfiguration;
            log_refusal(&node, &headers, "-", &route.name, reason, arrived_at);
            return local_response::refusal(&headers, reason, DEFAULT_RETRY_AFTER);
        }
    };
    let selected = SelectedRoute {
        route: service_choice::limit_route(route, terms.as_ref()),
        service,
        is_relayed: terms.is_some(),
        configuration_revision: table.revision(),
    };
    let call = Arc::new(build_call(
        &node, selected, parts, body, headers, arrived_at,
    ));
    let _guard = node.open_calls.track(&call);
    let outcome = run_until_deadline(&node, &call).await;
    build_response(&node, &call, outcome)
}

/// A route, the service selected for the request, and the configuration's revision.
struct SelectedRoute {
    route: RouteRule,
    service: String,
    is_relayed: bool,
    configuration_revision: u64,
}

fn build_call(
    node: &GatewayNode,
    selected: SelectedRoute,
    parts: http::request::Parts,
    body: StoredBody,
    headers: RequestHeaders,
    arrived_at: MonoTime,
) -> CallerCall {
    let SelectedRoute {
        route,
        service,
        is_relayed,
        configuration_revision,
    } = selected;
    let caller_timeout = headers.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let first_attempt_timeout = node.first_attempt_timeout(&route.name, caller_timeout);
    let elapsed_before = first_attempt_timeout.saturating_sub(caller_timeout);
    if let Some(key) = headers.key {
        node.count_key_request(&service, key);
    }
    CallerCall {
        deadline: arrived_at.after(caller_timeout.min(route.timeout)),
        target_deadline: arrived_at.after(route.target_latency.saturating_sub(elapsed_before)),
        parts,
        body,
        headers,
        route,
        service,
        is_relayed,
        configuration_revision,
        arrived_at,
        identity: Default::default(),
        progress: Default::default(),
    }
}

/// Runs the call until it ends, its deadline passes or a stop answers all pending requests.
async fn run_until_deadline(node: &Arc<GatewayNode>, call: &CallerCall) -> CallOutcome {
    let deadline_passed = async {
        Timer::after(call.time_left(node.now())).await;
        match call.progress.may_have_run() {
            true => CallOutcome::Failed(FailureReason::TimedOut),
            false => CallOutcome::Refused(
                RefusalReason::NoRoom,
                DEFAULT_RETRY_AFTER,
                LoadView::default(),
            ),
        }
    };
    let stop_reached = async {
        node.cancel_pending.wait().await;
        match call.progress.may_have_run() {
            true => CallOutcome::Failed(FailureReason::Stopping),
            false => CallOutcome::Refused(
                RefusalReason::Stopping,
                STOPPING_RETRY_AFTER,
                LoadView::default(),
            ),
        }
    };
    let evicted = async {
        call.body.wait_evicted().await;
        CallOutcome::evicted()
    };
    let cut_off = future::or(evicted, future::or(deadline_passed, stop_reached));
    future::or(request_dispatch::run(node, call), cut_off).await
}

fn build_response(
    node: &GatewayNode,
    call: &CallerCall,
    outcome: CallOutcome,
) -> Response<MessageBody> {
    let now = node.now();
    let took = now.since(call.arrived_at);
    let relay_outcome = RelayOutcome::from(&outcome);
    let (label, mut response) = match outcome {
        CallOutcome::Served(response) => {
            let label = match response.status().is_server_error() {
                true => "server-error",
                false if now <= call.target_deadline => "served",
                false => "late",
            };
            let mut response = response.map(MessageBody::from);
            hop_headers::strip(response.headers_mut());
            (label, response)
        }
        CallOutcome::Refused(reason, retry_after, view) => {
            metrics::counter!(REFUSALS, "reason" => reason.label()).increment(1);
            if !matches!(reason, RefusalReason::Quarantined(_)) {
                log_refusal_load(node, call, reason, view);
            }
            log_refusal(
                node,
                &call.headers,
                &call.service,
                &call.route.name,
                reason,
                call.arrived_at,
            );
            let mut response = local_response::refusal(&call.headers, reason, retry_after);
            if reason == RefusalReason::NoMemory {
                body_refusal::record_waiting(node, call);
                body_refusal::close_after(&mut response);
            }
            ("refused", response)
        }
        CallOutcome::Failed(reason) => {
            log_failure(node, call, reason, took);
            let response =
                local_response::with_reason(&call.headers, reason.status(), reason.label());
            ("failed", response)
        }
    };
    if call.is_relayed {
        relay_outcome.set(response.headers_mut());
        let attempts = call.progress.attempts_sent.load(Ordering::Relaxed);
        RelayOutcome::set_attempts(attempts, response.headers_mut());
    }
    metrics::counter!(REQUESTS, "outcome" => label).increment(1);
    metrics::histogram!(REQUEST_SECONDS, "outcome" => label).record(took.as_secs_f64());
    response
}
