//! Handling of control messages and requests by a simulated server.

use crate::prelude::*;
use std::sync::atomic::Ordering;

/// Running request; dropping it records the end of the run, also after the connection is closed.
struct RunningRequest {
    state: Arc<ServerState>,
    number: usize,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        *self.state.busy.lock().unwrap() -= 1;
        self.state.ledger.record_end(self.number);
    }
}

/// Answers one control message or request.
pub(crate) async fn answer(
    state: Arc<ServerState>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Response::new(Full::default()),
    };
    match head.uri.path() {
        "/control/clock" => control_reply(&state, true),
        "/control/grant" => {
            let order = serde_json::from_slice::<GrantWire>(&body).ok();
            let order = order.and_then(|wire| GrantOrder::try_from(wire).ok());
            let accepted = order.is_some_and(|order| state.accept_grant(order));
            control_reply(&state, accepted)
        }
        _ => handle_request(&state, &head, &body).await,
    }
}

fn control_reply(state: &ServerState, accepted: bool) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(&state.grant_reply(accepted)).unwrap_or_default();
    Response::new(Full::new(body.into()))
}

async fn handle_request(
    state: &Arc<ServerState>,
    head: &http::request::Parts,
    body: &Bytes,
) -> Response<Full<Bytes>> {
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    let id = text("geraniummast-request-id");
    let mut response = Response::new(Full::default());
    if let Ok(value) = id.parse() {
        let headers = response.headers_mut();
        headers.insert("geraniummast-request-id", value);
    }
    let behaviour = state.behaviour.lock().unwrap().clone();
    let hash = text("geraniummast-key-hash").parse().unwrap_or(KeyHash(0));
    let fence = text("geraniummast-fence").parse().unwrap_or_default();
    let start_before = text("geraniummast-start-before-us").parse().unwrap_or(0);
    let is_shedding = behaviour
        .shed_threshold
        .is_some_and(|threshold| *state.busy.lock().unwrap() >= threshold);
    if is_shedding || !state.may_run(hash, fence, MonoTime(start_before)) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        headers.insert("geraniummast-ran", http::HeaderValue::from_static("no"));
        return response;
    }
    let _slot = match behaviour.requires_grant {
        true => None,
        false => Some(state.slots.acquire().await),
    };
    let running = start_run(state, head, hash, id);
    let number = state.started_runs.fetch_add(1, Ordering::Relaxed);
    let age = state.clock.now().since(state.started);
    Timer::after(behaviour.run_time_for(number, age)).await;
    drop(running);
    let answer = ServerAnswer {
        method: head.method.as_str(),
        target: &head.uri.to_string(),
        body,
    };
    *response.body_mut() = Full::new(answer.text(state.name.as_str()).into());
    response
}

fn start_run(
    state: &Arc<ServerState>,
    head: &http::request::Parts,
    hash: KeyHash,
    id: String,
) -> RunningRequest {
    let behaviour = state.behaviour.lock().unwrap().clone();
    let busy = {
        let mut busy = state.busy.lock().unwrap();
        *busy += 1;
        *busy
    };
    let attempt = head.headers.get(ServerAnswer::ATTEMPT_HEADER);
    let run = RunRecord {
        id,
        attempt: attempt
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(0),
        server: state.name.clone(),
        service: ServiceName::new(head.uri.path().split('/').nth(1).unwrap_or_default()),
        hash,
        repeatable: head.method == Method::GET,
        started: state.clock.now(),
        ended: None,
    };
    let over_slots = busy > behaviour.slots;
    RunningRequest {
        number: state
            .ledger
            .record_start(run, behaviour.exclusive, over_slots),
        state: state.clone(),
    }
}
