//! From a caller's request to its answer.

use crate::{
    body_reader::{self, BodyRefusal},
    hop_headers, own_answer,
    prelude::*,
    request_dispatch,
};
use http::header;
use hyper::body::Incoming;

/// Time for which a caller waits that names none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// Pause told to callers while no configuration is known.
const START_PAUSE: Duration = Duration::from_millis(300);
/// Pause told to callers of a route none of whose parts takes requests: only another configuration
/// helps.
const NO_PART_PAUSE: Duration = Duration::from_secs(1);
/// Pause told to callers of an instance that is about to end: others can take them at once.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// Answers one caller's request.
pub(crate) async fn answer(
    node: Arc<GatewayNode>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let facts = RequestHeaders::from(&head.headers);
    let Some(table) = node.route_table() else {
        let reason = RefusalReason::NoConfiguration;
        log_refusal(&node, &facts, "-", "-", reason, arrived);
        return own_answer::refusal(&facts, reason, START_PAUSE);
    };
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let Some(route) = table.find(host, head.uri.path()) else {
        log_unknown_route(&node, &facts, &table, host, head.uri.path());
        return own_answer::reason(&facts, StatusCode::NOT_FOUND, "no-route");
    };
    if !node.accepts_request(facts.patience.unwrap_or(DEFAULT_PATIENCE)) {
        let reason = RefusalReason::Stopping;
        log_refusal(&node, &facts, "-", &route.name, reason, arrived);
        return own_answer::refusal(&facts, reason, STOP_PAUSE);
    }
    if head.headers.contains_key(header::CONTENT_LENGTH)
        && head.headers.contains_key(header::TRANSFER_ENCODING)
    {
        return own_answer::reason(&facts, StatusCode::BAD_REQUEST, "two-lengths");
    }
    let body = match body_reader::read(body, table.limits().max_body_bytes).await {
        Ok(body) => body,
        Err(BodyRefusal::TooLarge) => {
            return own_answer::reason(&facts, StatusCode::PAYLOAD_TOO_LARGE, "body-too-large");
        }
        Err(BodyRefusal::Broken) => {
            return own_answer::reason(&facts, StatusCode::BAD_REQUEST, "body-broken");
        }
    };
    let Some(service) = node.draw_service(route) else {
        let reason = RefusalReason::NoServer;
        log_refusal(&node, &facts, "-", &route.name, reason, arrived);
        return own_answer::refusal(&facts, reason, NO_PART_PAUSE);
    };
    let drawn = DrawnRoute {
        route: route.clone(),
        service,
        revision: table.revision(),
    };
    let call = Arc::new(make_call(&node, drawn, head, body, facts, arrived));
    let _open = node.open_calls.hold(&call);
    let outcome = serve(&node, &call).await;
    finish(&node, &call, outcome)
}

/// A route with the service drawn from its parts, and the configuration's revision.
struct DrawnRoute {
    route: RouteRule,
    service: String,
    revision: u64,
}

fn make_call(
    node: &GatewayNode,
    drawn: DrawnRoute,
    head: http::request::Parts,
    body: Bytes,
    facts: RequestHeaders,
    arrived: MonoTime,
) -> CallerCall {
    let DrawnRoute {
        route,
        service,
        revision,
    } = drawn;
    let patience = facts.patience.unwrap_or(DEFAULT_PATIENCE);
    let usual = node.usual_patience(&route.name, patience);
    let spent = usual.saturating_sub(patience);
    if let Some(key) = facts.key {
        node.note_key(&service, key);
    }
    CallerCall {
        deadline: arrived.after(patience.min(route.timeout)),
        target_at: arrived.after(route.target_latency.saturating_sub(spent)),
        head,
        body,
        facts,
        route,
        service,
        revision,
        arrived,
        progress: Default::default(),
    }
}

/// Runs the call until it ends or its time is up.
async fn serve(node: &Arc<GatewayNode>, call: &CallerCall) -> CallOutcome {
    let late = async {
        Timer::after(call.left(node.now())).await;
        match call.progress.may_have_run() {
            true => CallOutcome::Failed(FailureReason::TimedOut),
            false => CallOutcome::Refused(RefusalReason::NoRoom, START_PAUSE, LoadView::default()),
        }
    };
    let stopped = async {
        node.waits_end.wait().await;
        match call.progress.may_have_run() {
            true => CallOutcome::Failed(FailureReason::Stopping),
            false => CallOutcome::Refused(RefusalReason::Stopping, STOP_PAUSE, LoadView::default()),
        }
    };
    let ended = future::or(late, stopped);
    future::or(request_dispatch::run(node, call), ended).await
}

fn finish(node: &GatewayNode, call: &CallerCall, outcome: CallOutcome) -> Response<Full<Bytes>> {
    let now = node.now();
    let took = now.since(call.arrived);
    let (label, response) = match outcome {
        CallOutcome::Served(response) => {
            let label = match response.status().is_server_error() {
                true => "server-error",
                false if now <= call.target_at => "served",
                false => "late",
            };
            let mut response = response.map(Full::new);
            hop_headers::strip(response.headers_mut());
            (label, response)
        }
        CallOutcome::Refused(reason, pause, view) => {
            metrics::counter!(REFUSALS, "reason" => reason.label()).increment(1);
            log_load(node, call, reason, view);
            log_refusal(
                node,
                &call.facts,
                &call.service,
                &call.route.name,
                reason,
                call.arrived,
            );
            ("refused", own_answer::refusal(&call.facts, reason, pause))
        }
        CallOutcome::Failed(reason) => {
            log_failure(node, call, reason, took);
            let response = own_answer::reason(&call.facts, reason.status(), reason.label());
            ("failed", response)
        }
    };
    metrics::counter!(REQUESTS, "outcome" => label).increment(1);
    metrics::histogram!(REQUEST_SECONDS, "outcome" => label).record(took.as_secs_f64());
    response
}

fn log_unknown_route(
    node: &GatewayNode,
    facts: &RequestHeaders,
    table: &RouteTable,
    host: &str,
    path: &str,
) {
    if node.log.admit("no-route", node.now()) {
        log::info!(
            id = facts.id_text(),
            host,
            path,
            revision = table.revision();
            "no route for the request"
        );
    }
}

fn log_refusal(
    node: &GatewayNode,
    facts: &RequestHeaders,
    service: &str,
    route: &str,
    reason: RefusalReason,
    arrived: MonoTime,
) {
    let now = node.now();
    if node.log.admit("refusal", now) {
        log::info!(
            id = facts.id_text(),
            service,
            route,
            reason = reason.label(),
            key = facts.key.map_or(-1, i64::from),
            key_revision = node.key_revision(service).unwrap_or_default(),
            revision = node.route_table().map_or(0, |table| table.revision()),
            after_ms = now.since(arrived).as_millis() as u64;
            "request refused"
        );
    }
}

fn log_load(node: &GatewayNode, call: &CallerCall, reason: RefusalReason, view: LoadView) {
    let now = node.now();
    if node.log.admit("load", now) {
        log::info!(
            id = call.facts.id_text(),
            service = call.service.as_str(),
            reason = reason.label(),
            servers = view.servers,
            resting = view.resting,
            with_room = view.with_room,
            waiting = view.waiting,
            least_expected_ms = view.least_expected.as_millis().min(100_000) as u64,
            target_left_ms = call.target_left(now).as_millis() as u64,
            left_ms = call.left(now).as_millis() as u64,
            sends = call.progress.sends.load(Ordering::Relaxed);
            "load at a refusal"
        );
    }
}

fn log_failure(node: &GatewayNode, call: &CallerCall, reason: FailureReason, took: Duration) {
    if node.log.admit("failure", node.now()) {
        log::info!(
            id = call.facts.id_text(),
            service = call.service.as_str(),
            route = call.route.name.as_str(),
            reason = reason.label(),
            sends = call.progress.sends.load(Ordering::Relaxed),
            revision = call.revision,
            after_ms = took.as_millis() as u64;
            "request failed"
        );
    }
}
