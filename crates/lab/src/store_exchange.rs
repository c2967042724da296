//! Handling of requests by the simulated store.

use crate::prelude::*;

/// Answers one request, subject to the current fault.
pub(crate) async fn answer(
    state: Arc<StoreState>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let fault = *state.fault.lock().unwrap();
    match fault {
        StoreFault::Down => std::future::pending::<()>().await,
        StoreFault::Slow(delay) => {
            Timer::after(delay).await;
        }
        StoreFault::None | StoreFault::LostAnswers => {}
    }
    let (head, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return reply(StatusCode::BAD_REQUEST, None, Bytes::new()),
    };
    let path = head.uri.path().strip_prefix("/objects/");
    let kind = match (&head.method, path) {
        _ if head.uri.path() == "/instances" => "list",
        (&Method::GET, Some(_)) => "read",
        (&Method::GET, None) => "watch",
        _ => "write",
    };
    *state.calls.lock().unwrap().entry(kind.into()).or_default() += 1;
    let response = match (&head.method, path) {
        _ if kind == "list" => list(&state),
        (&Method::GET, None) => watch(&state, head.uri.query().unwrap_or_default()).await,
        (&Method::GET, Some(path)) => read(&state, path),
        (&Method::PUT, Some(path)) => write(&state, &head, path, Some(&body)),
        (&Method::DELETE, Some(path)) => write(&state, &head, path, None),
        _ => reply(StatusCode::METHOD_NOT_ALLOWED, None, Bytes::new()),
    };
    if kind == "write" && fault == StoreFault::LostAnswers {
        std::future::pending::<()>().await;
    }
    response
}

fn list(state: &StoreState) -> Response<Full<Bytes>> {
    let visible_at = SteadyClock.now().before(*state.list_lag.lock().unwrap());
    let list: Vec<_> = state
        .list
        .lock()
        .unwrap()
        .at(visible_at)
        .into_values()
        .collect();
    let text = serde_json::to_vec(&list).unwrap_or_default();
    reply(StatusCode::OK, None, text.into())
}

fn read(state: &StoreState, path: &str) -> Response<Full<Bytes>> {
    let objects = state.objects.lock().unwrap();
    match objects.at(path, SteadyClock.now()) {
        Some(ObjectState {
            version,
            value: Some(value),
            ..
        }) => reply(StatusCode::OK, Some(*version), value.to_string().into()),
        _ => reply(StatusCode::NOT_FOUND, None, Bytes::new()),
    }
}

fn write(
    state: &StoreState,
    head: &http::request::Parts,
    path: &str,
    body: Option<&[u8]>,
) -> Response<Full<Bytes>> {
    let value = match body.map(serde_json::from_slice::<Value>) {
        Some(Err(_)) => return reply(StatusCode::BAD_REQUEST, None, Bytes::new()),
        Some(Ok(value)) => Some(value),
        None => None,
    };
    let mut objects = state.objects.lock().unwrap();
    let current = objects
        .at(path, SteadyClock.now())
        .filter(|state| state.value.is_some())
        .map(|state| state.version);
    let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
    let is_condition_met = match (header("if-match"), header("if-none-match")) {
        (Some(required), _) => {
            current.map(|version| version.to_string()).as_deref() == Some(required)
        }
        (None, Some(_)) => current.is_none(),
        (None, None) => false,
    };
    if !is_condition_met {
        return reply(StatusCode::PRECONDITION_FAILED, current, Bytes::new());
    }
    let version = objects.write(path, value);
    drop(objects);
    state.changed.notify(usize::MAX);
    reply(StatusCode::OK, Some(version), Bytes::new())
}

async fn watch(state: &StoreState, query: &str) -> Response<Full<Bytes>> {
    let field = |name: &str| {
        query
            .split('&')
            .find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    };
    let prefix = field("prefix").unwrap_or_default().to_string();
    let number = |name| field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let after: u64 = number("after");
    let wait = Duration::from_millis(number("wait_ms"));
    let timeout = async {
        Timer::after(wait).await;
    };
    let change = async {
        loop {
            let changed = state.changed.listen();
            if *state.fault.lock().unwrap() == StoreFault::Down {
                std::future::pending::<()>().await;
            }
            if !visible_changes(state, &prefix, after).events.is_empty() {
                return;
            }
            let lag = *state.watch_lag.lock().unwrap();
            match lag.is_zero() {
                true => changed.await,
                false => futures_lite::future::or(changed, lag_poll_interval()).await,
            }
        }
    };
    futures_lite::future::or(change, timeout).await;
    if *state.fault.lock().unwrap() == StoreFault::Down {
        std::future::pending::<()>().await;
    }
    let text = serde_json::to_vec(&visible_changes(state, &prefix, after)).unwrap_or_default();
    reply(StatusCode::OK, None, text.into())
}

/// Waits until a watch that lags should look again for changes that have become visible.
async fn lag_poll_interval() {
    Timer::after(Duration::from_millis(20)).await;
}

fn visible_changes(state: &StoreState, prefix: &str, after: u64) -> WatchBatch {
    let visible_at = SteadyClock.now().before(*state.watch_lag.lock().unwrap());
    state
        .objects
        .lock()
        .unwrap()
        .changes_after(prefix, after, visible_at)
}

fn reply(status: StatusCode, version: Option<u64>, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    if let Some(version) = version {
        response.headers_mut().insert("etag", version.into());
    }
    response
}
