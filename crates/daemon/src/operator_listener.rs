//! Health, readiness and state for operators.

use crate::prelude::*;
use hyper::body::Incoming;

/// Answers one operator's request.
pub(crate) async fn answer(node: Arc<Node>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        "/healthz" => (StatusCode::OK, "ok\n"),
        "/readyz" if node.is_ready() => (StatusCode::OK, "ready\n"),
        "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => (StatusCode::NOT_FOUND, "not found\n"),
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
