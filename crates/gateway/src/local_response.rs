//! Responses that the instance generates itself instead of forwarding one from a server.

use crate::prelude::*;
use http::{HeaderValue, header};

/// Builds a response with a JSON body that states the reason.
pub(crate) fn with_reason(
    request: &RequestHeaders,
    status: StatusCode,
    reason: &str,
) -> Response<Full<Bytes>> {
    let body = format!("{{\"reason\":\"{reason}\"}}");
    let mut response = Response::new(Full::new(Bytes::from(body)));
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
) -> Response<Full<Bytes>> {
    let mut response = with_reason(request, StatusCode::SERVICE_UNAVAILABLE, reason.label());
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
