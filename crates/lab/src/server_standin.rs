//! Stand-in for a licensed server.

use crate::prelude::*;

/// A server that holds grants and runs requests.
pub struct ServerStandin {
    pool: Arc<WorkerPool>,
    address: SocketAddr,
    state: Arc<ServerState>,
}

/// How a server behaves.
#[derive(Clone, Debug)]
pub struct ServerBehaviour {
    /// Time that a request runs.
    pub run_time: Duration,
    /// Whether orders and requests below the highest accepted fence are refused.
    pub checks_fences: bool,
    /// Whether keys of the service have one owner.
    pub exclusive: bool,
}

struct ServerState {
    name: ServerName,
    behaviour: Mutex<ServerBehaviour>,
    grants: Mutex<IndexMap<PartId, GrantOrder>>,
    busy: Mutex<u32>,
    ledger: Arc<TruthLedger>,
    clock: SteadyClock,
}

impl ServerStandin {
    /// Starts a server.
    pub async fn start(
        name: &str,
        behaviour: ServerBehaviour,
        ledger: Arc<TruthLedger>,
    ) -> eyre::Result<Self> {
        let pool = WorkerPool::start(name, 1)?;
        let any = ([127, 0, 0, 1], 0).into();
        let listener = HttpListener::bind(any, HttpLimits::default()).await?;
        let address = listener.local_address()?;
        let state = Arc::new(ServerState {
            name: ServerName::new(name),
            behaviour: Mutex::new(behaviour),
            grants: Mutex::default(),
            busy: Mutex::default(),
            ledger,
            clock: SteadyClock,
        });
        let shared = state.clone();
        pool.spawn(listener.serve(pool.clone(), move |request| answer(shared.clone(), request)));
        Ok(Self {
            pool,
            address,
            state,
        })
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Name of the server.
    pub fn name(&self) -> &ServerName {
        &self.state.name
    }

    /// Changes the server's behaviour.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut ServerBehaviour)) {
        change(&mut self.state.behaviour.lock().unwrap());
    }

    /// Ends the server at once.
    pub fn kill(&self) {
        self.pool.stop();
    }

    /// Freezes the server.
    pub fn pause(&self) {
        self.pool.pause();
    }

    /// Ends a freeze.
    pub fn resume(&self) {
        self.pool.resume();
    }
}

impl Drop for ServerStandin {
    fn drop(&mut self) {
        self.pool.stop();
    }
}

async fn answer(state: Arc<ServerState>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Response::new(Full::default()),
    };
    match head.uri.path() {
        "/control/clock" => control_reply(&state, true),
        "/control/grant" => grant(&state, &body),
        _ => run(&state, &head, body).await,
    }
}

fn grant(state: &ServerState, body: &[u8]) -> Response<Full<Bytes>> {
    let order = serde_json::from_slice::<GrantWire>(body).ok();
    let Some(order) = order.and_then(|wire| GrantOrder::try_from(wire).ok()) else {
        return control_reply(state, false);
    };
    let behaviour = state.behaviour.lock().unwrap().clone();
    let now = state.clock.now();
    let mut grants = state.grants.lock().unwrap();
    let stale = behaviour.checks_fences
        && grants
            .get(&order.part)
            .is_some_and(|held| held.fence > order.fence);
    if stale || order.not_after <= now {
        drop(grants);
        return control_reply(state, false);
    }
    if behaviour.exclusive {
        state.ledger.granted(&state.name, &order, now);
    }
    grants.insert(order.part.clone(), order);
    drop(grants);
    control_reply(state, true)
}

fn control_reply(state: &ServerState, accepted: bool) -> Response<Full<Bytes>> {
    let fence = state
        .grants
        .lock()
        .unwrap()
        .values()
        .map(|order| order.fence)
        .max();
    let reply = GrantReplyWire {
        accepted,
        clock_us: state.clock.now().0,
        busy: *state.busy.lock().unwrap(),
        leaving: false,
        fence: fence.unwrap_or_default(),
    };
    Response::new(Full::new(
        serde_json::to_vec(&reply).unwrap_or_default().into(),
    ))
}

async fn run(
    state: &ServerState,
    head: &http::request::Parts,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let text = |name: &str| {
        head.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_string()
    };
    let id = text("geraniummast-request-id");
    let mut response = Response::new(Full::default());
    if let Ok(value) = id.parse() {
        response
            .headers_mut()
            .insert("geraniummast-request-id", value);
    }
    if !may_run(state, &text) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
            .headers_mut()
            .insert("geraniummast-ran", http::HeaderValue::from_static("no"));
        return response;
    }
    *state.busy.lock().unwrap() += 1;
    state.ledger.ran(&id, &state.name);
    let run_time = state.behaviour.lock().unwrap().run_time;
    Timer::after(run_time).await;
    *state.busy.lock().unwrap() -= 1;
    let answer = format!(
        "{} {} by {}: {} bytes\n",
        head.method,
        head.uri,
        state.name,
        body.len()
    );
    *response.body_mut() = Full::new(answer.into());
    response
}

/// Whether a standing grant covers the request and its time to start has not passed.
fn may_run(state: &ServerState, text: &impl Fn(&str) -> String) -> bool {
    let Ok(hash) = text("geraniummast-key-hash").parse::<KeyHash>() else {
        return false;
    };
    let fence = text("geraniummast-fence")
        .parse::<FenceToken>()
        .unwrap_or_default();
    let start_before = text("geraniummast-start-before-us").parse().unwrap_or(0);
    let behaviour = state.behaviour.lock().unwrap().clone();
    let now = state.clock.now();
    let grants = state.grants.lock().unwrap();
    let covered = grants.values().any(|order| {
        order.not_after > now
            && (!behaviour.checks_fences || order.fence <= fence)
            && (!behaviour.exclusive || order.ranges.iter().any(|range| range.contains(hash)))
    });
    covered && MonoTime(start_before) > now
}
