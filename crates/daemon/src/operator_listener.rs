//! HTTP interface for operators: health, readiness, metrics, state, and requests that change it.

use crate::{
    dump_builder, metric_recorder, metric_worker, operator_error::OperatorError, operator_query,
    prelude::*,
};
use http::Method;
use hyper::body::Incoming;
use subtle::ConstantTimeEq;

/// Paths with their methods.
const PATHS: [(&str, Method); 7] = [
    ("/healthz", Method::GET),
    ("/readyz", Method::GET),
    ("/metrics", Method::GET),
    ("/dump", Method::GET),
    ("/status", Method::GET),
    ("/explain", Method::GET),
    ("/drain", Method::POST),
];

/// Answers one request of an operator.
pub(crate) async fn answer(
    node: Arc<InstanceNode>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    respond(&node, &request).unwrap_or_else(|error| {
        json(
            error.status(),
            &serde_json::json!({ "error": error.as_str() }),
        )
    })
}

/// Routes a request by its path; a method that changes state needs the token.
fn respond(
    node: &Arc<InstanceNode>,
    request: &Request<Incoming>,
) -> Result<Response<Full<Bytes>>, OperatorError> {
    let path = request.uri().path();
    let (_, method) = PATHS
        .iter()
        .find(|(known, _)| *known == path)
        .ok_or(OperatorError::NotFound)?;
    if request.method() != method {
        return Err(OperatorError::WrongMethod);
    }
    if *method != Method::GET && !is_authorised(node, request.headers()) {
        return Err(OperatorError::Unauthorised);
    }
    let query = request.uri().query().unwrap_or_default();
    Ok(match path {
        "/healthz" => text(StatusCode::OK, "ok\n".into()),
        "/readyz" if node.is_ready() => text(StatusCode::OK, "ready\n".into()),
        "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        "/metrics" => {
            metric_worker::set_gauges(node);
            text(StatusCode::OK, metric_recorder::install().render())
        }
        "/dump" => json(StatusCode::OK, &dump_builder::dump(node)),
        "/status" => json(StatusCode::OK, &dump_builder::status(node)),
        "/explain" => explain(node, query)?,
        _ => {
            node.begin_drain("asked by an operator");
            let draining = node.clone();
            node.pool
                .spawn(async move { instance_node::drain(&draining, "drain").await });
            json(
                StatusCode::ACCEPTED,
                &serde_json::json!({ "draining": true }),
            )
        }
    })
}

/// Answers `/explain`: where a key of a service is served.
fn explain(node: &InstanceNode, query: &str) -> Result<Response<Full<Bytes>>, OperatorError> {
    let service = operator_query::parameter(query, "service").ok_or(OperatorError::BadQuery)?;
    let key = operator_query::parameter(query, "key").ok_or(OperatorError::BadQuery)?;
    let wire = dump_builder::explain(node, &service, &key).ok_or(OperatorError::UnknownPart)?;
    Ok(json(StatusCode::OK, &wire))
}

/// Whether the bearer token is the one from the settings, compared in constant time.
fn is_authorised(node: &InstanceNode, headers: &http::HeaderMap) -> bool {
    let given = headers
        .get("authorization")
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let token = node.settings.operator_token.as_bytes();
    !token.is_empty() && given.is_some_and(|given| bool::from(given.ct_eq(token)))
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec_pretty(value).unwrap_or_default();
    reply(status, "application/json", body.into())
}

fn text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    reply(status, "text/plain; version=0.0.4", text.into())
}

fn reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
