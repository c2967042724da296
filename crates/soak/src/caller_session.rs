//! Callers: kept connections, retries as they were told, some that leave early.

use crate::{answer_body, prelude::*, soak_routes};

/// Time that callers wait for an answer, in milliseconds.
const PATIENCE_MS: std::ops::Range<u64> = 800..4_000;
/// Attempts of one request, by the caller.
const MAX_TRIES: u32 = 3;
/// One in so many callers leaves early.
const LEAVE_EACH: u32 = 25;
/// Keys that most keyed requests are about.
const HOT_KEYS: std::ops::Range<u16> = 12_000..12_100;
/// Time between two probes of one instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time until a new connection is open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A kept connection to an instance.
struct KeptConnection {
    connection: HttpConnection,
    instance: usize,
    start: u64,
    left: u32,
}

/// A caller over its requests.
struct CallerSession {
    world: Arc<SoakWorld>,
    habit: ConnectionPolicy,
    rng: StdRng,
    kept: Option<KeptConnection>,
    /// Instance of the last connection.
    last: Option<usize>,
}

/// Sends requests until the world stops calling.
pub(crate) async fn run(world: Arc<SoakWorld>, number: usize) {
    let seed = world.plan.seed.wrapping_mul(1_000);
    let mut session = CallerSession {
        world: world.clone(),
        habit: ConnectionPolicy::of_caller(number),
        rng: StdRng::seed_from_u64(seed.wrapping_add(number as u64)),
        kept: None,
        last: None,
    };
    while world.is_calling.load(Ordering::SeqCst) {
        Timer::after(session.habit.think_time(&mut session.rng)).await;
        let kind = session.rng.random_range(0..RequestKind::CALLED.len());
        session.request(RequestKind::CALLED[kind]).await;
    }
}

/// Asks one instance which service serves the probed route.
pub(crate) async fn probe(world: Arc<SoakWorld>, instance: usize) {
    let mut rng = StdRng::seed_from_u64(world.plan.seed ^ instance as u64);
    while world.is_calling.load(Ordering::SeqCst) {
        Timer::after(PROBE_INTERVAL).await;
        let patience = Duration::from_secs(1);
        if let Some(mut kept) = connect(&world, instance, 1).await {
            attempt(&world, RequestKind::Probe, &mut kept, patience, &mut rng).await;
        }
    }
}

impl CallerSession {
    /// Leads one request through the caller's tries.
    async fn request(&mut self, kind: RequestKind) {
        let patience = Duration::from_millis(self.rng.random_range(PATIENCE_MS));
        let until = SteadyClock.now().after(patience);
        for _ in 0..MAX_TRIES {
            let left = until.since(SteadyClock.now());
            if left < Duration::from_millis(50) {
                return;
            }
            self.keep().await;
            let Some(kept) = self.kept.as_mut() else {
                continue;
            };
            let (end, pause) = attempt(&self.world, kind, kept, left, &mut self.rng).await;
            let is_answered = matches!(end, CallOutcome::Answered(..));
            let again = may_repeat(kind, &end);
            // Each try is made on a new connection, but for callers that stay.
            if !is_answered || again && self.habit == ConnectionPolicy::Rotating {
                self.kept = None;
            }
            if !again {
                return;
            }
            Timer::after(pause.min(left / 3)).await;
        }
    }

    /// Opens a connection unless the one at hand can be used.
    async fn keep(&mut self) {
        let is_usable = |kept: &KeptConnection| kept.left > 0 && kept.connection.is_open();
        if self.kept.as_ref().is_some_and(is_usable) {
            return;
        }
        let balancer = &self.world.balancer;
        let instance = self.habit.choose(balancer, self.last, &mut self.rng);
        let requests = self.habit.kept_requests(&mut self.rng);
        self.kept = connect(&self.world, instance, requests).await;
        self.last = self.kept.as_ref().map(|kept| kept.instance);
    }
}

/// Whether a caller tries a request again after such an end.
fn may_repeat(kind: RequestKind, end: &CallOutcome) -> bool {
    match end {
        CallOutcome::Answered(status, _) => {
            let is_promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
            is_promise || status.is_server_error() && kind.is_idempotent()
        }
        CallOutcome::Unsent(_) => true,
        CallOutcome::Closed(_) => kind.is_idempotent(),
        CallOutcome::TimedOut | CallOutcome::Abandoned => false,
    }
}

async fn connect(world: &SoakWorld, instance: usize, left: u32) -> Option<KeptConnection> {
    let process = &world.instances[instance];
    let start = process.starts();
    let address = process.caller_address();
    let dialer = TcpDialer::direct();
    let connection = HttpConnection::open(&world.pool, &dialer, address, CONNECT_TIMEOUT).await;
    Some(KeptConnection {
        connection: connection.ok()?,
        instance,
        start,
        left,
    })
}

/// One attempt: what came of it, and when the instance said to come back.
async fn attempt(
    world: &SoakWorld,
    kind: RequestKind,
    kept: &mut KeptConnection,
    patience: Duration,
    rng: &mut StdRng,
) -> (CallOutcome, Duration) {
    let id = world.next_id();
    kept.left = kept.left.saturating_sub(1);
    let key = kind.is_keyed().then(|| match rng.random_bool(0.4) {
        true => rng.random_range(HOT_KEYS),
        false => rng.random(),
    });
    let request = build(kind, &id, key, patience, rng);
    let leaves = kind.is_idempotent() && rng.random_range(0..LEAVE_EACH) == 0;
    let stay = match leaves {
        true => Duration::from_millis(rng.random_range(1..60)),
        false => patience + Duration::from_millis(300),
    };
    let sent = SteadyClock.now();
    let exchange = async { Some(kept.connection.exchange(request, 1 << 20).await) };
    let gone = async {
        Timer::after(stay).await;
        None
    };
    let mut pause = Duration::from_millis(20);
    let end = match future::or(exchange, gone).await {
        None if leaves => CallOutcome::Abandoned,
        None => CallOutcome::TimedOut,
        Some(Ok(response)) => {
            let retry_after = response.headers().get("retry-after");
            let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
            pause = seconds.map_or(pause, Duration::from_secs_f64);
            if says_close(&response) {
                kept.left = 0;
            }
            CallOutcome::Answered(response.status(), fault_of(&id, &response))
        }
        Some(Err(ExchangeError::NotSent(cause))) => CallOutcome::Unsent(cause),
        Some(Err(error)) => CallOutcome::Closed(error.to_string()),
    };
    world.ledger.called(CallRecord {
        id,
        kind,
        instance: kept.instance,
        start: kept.start,
        sent,
        patience,
        ended: SteadyClock.now(),
        end: end.clone(),
    });
    (end, pause)
}

fn build(
    kind: RequestKind,
    id: &str,
    key: Option<u16>,
    patience: Duration,
    rng: &mut StdRng,
) -> Request<Full<Bytes>> {
    let body = match kind.is_idempotent() {
        true => String::new(),
        false => "b".repeat(rng.random_range(1..8_000)),
    };
    let mut request = Request::new(Full::new(Bytes::from(body)));
    if !kind.is_idempotent() {
        *request.method_mut() = http::Method::POST;
    }
    let target = format!("{}{id}", soak_routes::path(kind));
    *request.uri_mut() = target.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert("host", http::HeaderValue::from_static(soak_routes::HOST));
    let facts = RequestHeaders {
        request_id: http::HeaderValue::from_str(id).ok(),
        caller_timeout: Some(patience),
        key,
    };
    facts.set(headers);
    request
}

/// Whether the instance ends the connection after an answer.
fn says_close(response: &Response<Bytes>) -> bool {
    let value = response.headers().get(http::header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// What is wrong with an answer.
fn fault_of(id: &str, response: &Response<Bytes>) -> Option<&'static str> {
    let headers = ServerHeaders::from(response.headers());
    let is_own = headers.request_id.is_some_and(|own| own == id);
    match (is_own, response.status().is_success(), headers.is_signed) {
        (false, _, _) => Some("the identifier of another request"),
        (true, true, false) => Some("a success without a signature"),
        (true, true, true) => answer_body::body_fault(id, response.body()),
        (true, false, _) => None,
    }
}
