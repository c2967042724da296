//! Stand-in for the platform's object API.

use crate::prelude::*;

/// The store: objects with versions, conditional updates and watches.
pub struct StoreStandin {
    pool: Arc<WorkerPool>,
    address: SocketAddr,
    state: Arc<StoreState>,
}

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// As it should.
    #[default]
    None,
    /// Not at all.
    Down,
    /// Writes take effect, their answers are lost.
    LostAnswers,
}

#[derive(Default)]
struct StoreState {
    objects: Mutex<ObjectTable>,
    changed: event_listener::Event,
    fault: Mutex<StoreFault>,
    calls: Mutex<IndexMap<String, u64>>,
}

#[derive(Default)]
struct ObjectTable {
    version: u64,
    objects: IndexMap<String, (u64, Option<Value>)>,
}

impl StoreStandin {
    /// Starts an empty store.
    pub async fn start() -> eyre::Result<Self> {
        let pool = WorkerPool::start("store", 1)?;
        let any = ([127, 0, 0, 1], 0).into();
        let limits = HttpLimits {
            max_head_bytes: 2 << 20,
            ..HttpLimits::default()
        };
        let listener = HttpListener::bind(any, limits).await?;
        let address = listener.local_address()?;
        let state = Arc::new(StoreState::default());
        let shared = state.clone();
        pool.spawn(listener.serve(pool.clone(), move |request| answer(shared.clone(), request)));
        Ok(Self {
            pool,
            address,
            state,
        })
    }

    /// Address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the store answers.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.state.fault.lock().unwrap() = fault;
        self.state.changed.notify(usize::MAX);
    }

    /// Calls taken so far by kind.
    pub fn calls(&self) -> IndexMap<String, u64> {
        self.state.calls.lock().unwrap().clone()
    }
}

impl Drop for StoreStandin {
    fn drop(&mut self) {
        self.pool.stop();
    }
}

async fn answer(state: Arc<StoreState>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let fault = *state.fault.lock().unwrap();
    if fault == StoreFault::Down {
        std::future::pending::<()>().await;
    }
    let (head, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return reply(StatusCode::BAD_REQUEST, None, Bytes::new()),
    };
    let path = head
        .uri
        .path()
        .strip_prefix("/objects/")
        .map(str::to_string);
    let kind = match (&head.method, &path) {
        (&Method::GET, Some(_)) => "read",
        (&Method::GET, None) => "watch",
        _ => "write",
    };
    *state.calls.lock().unwrap().entry(kind.into()).or_default() += 1;
    let response = match (&head.method, path) {
        (&Method::GET, None) => watch(&state, head.uri.query().unwrap_or_default()).await,
        (&Method::GET, Some(path)) => read(&state, &path),
        (&Method::PUT, Some(path)) => write(&state, &head, &path, Some(&body)),
        (&Method::DELETE, Some(path)) => write(&state, &head, &path, None),
        _ => reply(StatusCode::METHOD_NOT_ALLOWED, None, Bytes::new()),
    };
    if kind == "write" && fault == StoreFault::LostAnswers {
        std::future::pending::<()>().await;
    }
    response
}

fn read(state: &StoreState, path: &str) -> Response<Full<Bytes>> {
    match state.objects.lock().unwrap().objects.get(path) {
        Some((version, Some(value))) => {
            reply(StatusCode::OK, Some(*version), value.to_string().into())
        }
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
    let mut table = state.objects.lock().unwrap();
    let current = match table.objects.get(path) {
        Some((version, Some(_))) => Some(*version),
        _ => None,
    };
    let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
    let holds = match (header("if-match"), header("if-none-match")) {
        (Some(required), _) => {
            current.map(|version| version.to_string()).as_deref() == Some(required)
        }
        (None, Some(_)) => current.is_none(),
        (None, None) => false,
    };
    if !holds {
        return reply(StatusCode::PRECONDITION_FAILED, current, Bytes::new());
    }
    table.version += 1;
    let version = table.version;
    table.objects.insert(path.into(), (version, value));
    drop(table);
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
    let late = async {
        Timer::after(wait).await;
    };
    let change = async {
        loop {
            let changed = state.changed.listen();
            if *state.fault.lock().unwrap() == StoreFault::Down {
                std::future::pending::<()>().await;
            }
            if !batch(state, &prefix, after).events.is_empty() {
                return;
            }
            changed.await;
        }
    };
    futures_lite::future::or(change, late).await;
    let text = serde_json::to_vec(&batch(state, &prefix, after)).unwrap_or_default();
    reply(StatusCode::OK, None, text.into())
}

fn batch(state: &StoreState, prefix: &str, after: u64) -> WatchBatch {
    let table = state.objects.lock().unwrap();
    let changed = |(path, (version, _)): &(&String, &(u64, Option<Value>))| {
        path.starts_with(prefix) && *version > after
    };
    let mut events: Vec<_> = table
        .objects
        .iter()
        .filter(changed)
        .map(|(path, (version, value))| WatchEvent {
            path: ObjectPath::new(path),
            version: ObjectVersion(*version),
            value: value.clone(),
        })
        .collect();
    events.sort_by_key(|event| event.version);
    WatchBatch {
        version: ObjectVersion(table.version),
        events,
    }
}

fn reply(status: StatusCode, version: Option<u64>, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    if let Some(version) = version {
        response.headers_mut().insert("etag", version.into());
    }
    response
}
