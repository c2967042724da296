//! Responses that the instance generates itself instead of forwarding one from a server.

use crate::prelude::*;
use http::{HeaderValue, header};

/// Builds a response with a JSON body that states the reason.
pub(crate) fn with_reason(
    request: &RequestHeaders,
    status: StatusCode,
    reason: &str,
) -> Response<MessageBody> {
    let body = format!("{{\"reason\":\"{reason}\"}}");
    let mut response = Response::new(Full::new(Bytes::from(body)).into());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    request.echo_request_id(headers);
    response
}

/// Builds the refusal of a request that has not run, with a `Retry-After` header.
pub(crate) fn refusal(
    request: &RequestHeaders,
    reason: RefusalReason,
    retry_after: Duration,
) -> Response<MessageBody> {
    let response = with_reason(request, StatusCode::SERVICE_UNAVAILABLE, reason.label());
    retried_after(response, retry_after)
}

/// Adds a `Retry-After` header to a response.
pub(crate) fn retried_after(
    mut response: Response<MessageBody>,
    retry_after: Duration,
) -> Response<MessageBody> {
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
