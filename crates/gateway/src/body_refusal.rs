//! Answers to requests whose bodies are not read to their end, or are evicted before they run.

use crate::{
    body_reader::BodyError, local_response, prelude::*, request_handler::STOPPING_RETRY_AFTER,
    request_log,
};
use http::{HeaderValue, header};

/// Mean time after which memory is expected to be free again: most requests end within it.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` for a body that did not come in time, which says nothing about this instance.
const LATE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Request whose body is refused.
pub(crate) struct RefusedBody<'a> {
    pub(crate) headers: &'a RequestHeaders,
    pub(crate) route: &'a RouteRule,
    pub(crate) arrived_at: MonoTime,
    pub(crate) error: BodyError,
    pub(crate) announced_bytes: Option<usize>,
}

/// Time after which callers come back that were refused for lack of memory, spread over them.
pub(crate) fn memory_retry_after() -> Duration {
    MEMORY_RETRY_AFTER.mul_f64(0.5 + rand::random::<f64>())
}

/// Records a refused body and builds the answer, which closes the connection.
pub(crate) fn answer(node: &GatewayNode, refused: &RefusedBody) -> Response<MessageBody> {
    let reason = refused.error.label();
    let respond = |status| local_response::with_reason(refused.headers, status, reason);
    let mut response = match refused.error {
        BodyError::Unreadable => return respond(StatusCode::BAD_REQUEST),
        BodyError::TooLarge => respond(StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::NoMemory(_, stored) => {
            record(node, refused, stored);
            let response = respond(StatusCode::SERVICE_UNAVAILABLE);
            local_response::retried_after(response, memory_retry_after())
        }
        BodyError::Stopping => {
            let (headers, route) = (refused.headers, refused.route.name.as_str());
            let stopping = RefusalReason::Stopping;
            request_log::log_refusal(node, headers, "-", route, stopping, refused.arrived_at);
            local_response::refusal(headers, stopping, STOPPING_RETRY_AFTER)
        }
        BodyError::Late(_, stored) => {
            record(node, refused, stored);
            let response = respond(StatusCode::REQUEST_TIMEOUT);
            local_response::retried_after(response, LATE_RETRY_AFTER)
        }
    };
    close_after(&mut response);
    response
}

/// Records that a request was evicted while it waited for a server.
pub(crate) fn record_waiting(node: &GatewayNode, call: &CallerCall) {
    let stored = call.body.len();
    let refused = RefusedBody {
        headers: &call.headers,
        route: &call.route,
        arrived_at: call.arrived_at,
        error: BodyError::NoMemory(MemoryDenial::Evicted, stored),
        announced_bytes: Some(stored),
    };
    record(node, &refused, stored);
}

/// Has the connection closed after the response.
pub(crate) fn close_after(response: &mut Response<MessageBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

fn record(node: &GatewayNode, refused: &RefusedBody, stored: usize) {
    let reason = refused.error.label();
    metrics::counter!(REFUSED_BODIES, "reason" => reason).increment(1);
    let now = node.now();
    if node.log.allow("body", now) {
        log::info!(
            id = refused.headers.id_text(),
            route = refused.route.name.as_str(),
            reason,
            stored_bytes = stored,
            announced_bytes = refused.announced_bytes.map_or(-1, |bytes| bytes as i64),
            used_bytes = node.body_memory.used(),
            free_bytes = node.body_memory.left(),
            priority = refused.route.priority,
            after_ms = now.since(refused.arrived_at).as_millis() as u64;
            "request body refused"
        );
    }
}
