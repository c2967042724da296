//! Answers of the instance's own.

use crate::prelude::*;
use http::{HeaderValue, header};

/// An answer with a reason as its body.
pub(crate) fn reason(
    facts: &RequestHeaders,
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
    facts.mark_answer(headers);
    response
}

/// A refusal of a request that has not run, with the time after which to come back.
pub(crate) fn refusal(
    facts: &RequestHeaders,
    cause: RefusalReason,
    pause: Duration,
) -> Response<Full<Bytes>> {
    let mut response = reason(facts, StatusCode::SERVICE_UNAVAILABLE, cause.label());
    let seconds = format!("{:.2}", pause.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
