//! Callers that reuse connections, retry as the answers permit, and sometimes abandon a request.

use crate::{answer_body, prelude::*, soak_routes};

/// Time for which callers wait for the answer to a request, over all attempts, in milliseconds.
const CALLER_TIMEOUT_MS: std::ops::Range<u64> = 800..4_000;
/// Largest number of attempts that a caller makes for one request.
const MAX_ATTEMPTS: u32 = 3;
/// One in this many attempts of idempotent requests is abandoned early.
const ABANDON_EVERY: u32 = 25;
/// Keys of 40% of the keyed requests; the others use keys of the whole range.
const HOT_KEYS: std::ops::Range<u16> = 12_000..12_100;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Open connection to an instance.
pub(crate) struct CallerConnection {
    http: HttpConnection,
    instance: usize,
    /// Number of starts of the instance when the connection was opened.
    start_count: u64,
    requests_left: u32,
}

/// What a caller requests.
pub(crate) struct RequestContent {
    pub(crate) kind: RequestKind,
    /// Last part of the path of a request that is sent again and again; other requests are new
    /// each time.
    pub(crate) fixed_path: Option<String>,
    /// Whether the caller has not tried to have this request served before.
    pub(crate) is_first_attempt: bool,
}

/// State of a caller between its requests.
struct CallerSession {
    world: Arc<SoakWorld>,
    policy: ConnectionPolicy,
    rng: StdRng,
    connection: Option<CallerConnection>,
    /// Instance of the last connection.
    last_instance: Option<usize>,
}

/// Runs the caller with the given number until all callers are stopped.
pub(crate) async fn run_caller(world: Arc<SoakWorld>, number: usize) {
    let seed = world.plan.seed.wrapping_mul(1_000);
    let mut session = CallerSession {
        world: world.clone(),
        policy: ConnectionPolicy::for_caller(number),
        rng: StdRng::seed_from_u64(seed.wrapping_add(number as u64)),
        connection: None,
        last_instance: None,
    };
    while world.is_sending.load(Ordering::SeqCst) {
        Timer::after(session.policy.think_time(&mut session.rng)).await;
        let kind = session
            .rng
            .random_range(0..RequestKind::SENT_BY_CALLERS.len());
        session
            .send_request(RequestKind::SENT_BY_CALLERS[kind])
            .await;
    }
}

impl RequestContent {
    /// Content that is new each time it is sent.
    pub(crate) fn new(kind: RequestKind) -> Self {
        Self {
            kind,
            fixed_path: None,
            is_first_attempt: true,
        }
    }
}

impl CallerSession {
    /// Sends one request, with retries where they are permitted.
    async fn send_request(&mut self, kind: RequestKind) {
        let timeout = Duration::from_millis(self.rng.random_range(CALLER_TIMEOUT_MS));
        let deadline = SteadyClock.now().after(timeout);
        let mut content = RequestContent::new(kind);
        for _ in 0..MAX_ATTEMPTS {
            let time_left = deadline.since(SteadyClock.now());
            if time_left < Duration::from_millis(50) {
                return;
            }
            self.ensure_connection().await;
            let Some(connection) = self.connection.as_mut() else {
                continue;
            };
            let (outcome, backoff) =
                send_attempt(&self.world, &content, connection, time_left, &mut self.rng).await;
            content.is_first_attempt = false;
            let is_answered = matches!(outcome, CallOutcome::Answered(..));
            let retries = may_retry(kind, &outcome);
            // A retry uses a new connection, unless the caller is sticky.
            if !is_answered || retries && self.policy == ConnectionPolicy::Rotating {
                self.connection = None;
            }
            if !retries {
                return;
            }
            Timer::after(backoff.min(time_left / 3)).await;
        }
    }

    /// Opens a new connection unless the current one can be reused.
    async fn ensure_connection(&mut self) {
        let is_usable = |connection: &CallerConnection| {
            connection.requests_left > 0 && connection.http.is_open()
        };
        if self.connection.as_ref().is_some_and(is_usable) {
            return;
        }
        let balancer = &self.world.balancer;
        let instance = self
            .policy
            .choose_instance(balancer, self.last_instance, &mut self.rng);
        let requests = self.policy.max_requests(&mut self.rng);
        self.connection = connect(&self.world, instance, requests).await;
        self.last_instance = self
            .connection
            .as_ref()
            .map(|connection| connection.instance);
    }
}

/// Whether a caller may retry a request after an attempt with this outcome.
fn may_retry(kind: RequestKind, outcome: &CallOutcome) -> bool {
    match outcome {
        CallOutcome::Answered(status, _) => {
            let is_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
            is_not_run || status.is_server_error() && kind.is_idempotent()
        }
        CallOutcome::Unsent(_) => true,
        CallOutcome::Closed(_) => kind.is_idempotent(),
        CallOutcome::TimedOut | CallOutcome::Abandoned => false,
    }
}

pub(crate) async fn connect(
    world: &SoakWorld,
    instance: usize,
    requests_left: u32,
) -> Option<CallerConnection> {
    let process = &world.instances[instance];
    let start_count = process.start_count();
    let address = process.caller_address();
    let dialer = TcpDialer::direct();
    let http = HttpConnection::open(&world.pool, &dialer, address, CONNECT_TIMEOUT).await;
    Some(CallerConnection {
        http: http.ok()?,
        instance,
        start_count,
        requests_left,
    })
}

/// Makes one attempt; returns its outcome and the pause before a retry.
pub(crate) async fn send_attempt(
    world: &SoakWorld,
    content: &RequestContent,
    connection: &mut CallerConnection,
    timeout: Duration,
    rng: &mut StdRng,
) -> (CallOutcome, Duration) {
    let kind = content.kind;
    let id = world.next_request_id();
    connection.requests_left = connection.requests_left.saturating_sub(1);
    let key = kind.is_keyed().then(|| choose_key(content, rng));
    let request = build_request(content, &id, key, timeout, rng);
    let is_abandoned = kind.is_idempotent() && rng.random_range(0..ABANDON_EVERY) == 0;
    let max_wait = match is_abandoned {
        true => Duration::from_millis(rng.random_range(1..60)),
        false => timeout + Duration::from_millis(300),
    };
    let sent_at = SteadyClock.now();
    let exchange = async { Some(connection.http.exchange(request, 1 << 20).await) };
    let expiry = async {
        Timer::after(max_wait).await;
        None
    };
    let mut backoff = Duration::from_millis(20);
    let outcome = match future::or(exchange, expiry).await {
        None if is_abandoned => CallOutcome::Abandoned,
        None => CallOutcome::TimedOut,
        Some(Ok(response)) => {
            let retry_after = response.headers().get("retry-after");
            let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
            backoff = seconds.map_or(backoff, Duration::from_secs_f64);
            if closes_connection(&response) {
                connection.requests_left = 0;
            }
            CallOutcome::Answered(response.status(), answer_error(&id, &response))
        }
        Some(Err(ExchangeError::NotSent(cause))) => CallOutcome::Unsent(cause),
        Some(Err(error)) => CallOutcome::Closed(error.to_string()),
    };
    world.ledger.record_call(CallRecord {
        id,
        kind,
        instance: connection.instance,
        start_count: connection.start_count,
        sent_at,
        timeout,
        ended_at: SteadyClock.now(),
        outcome: outcome.clone(),
        is_first_attempt: content.is_first_attempt,
    });
    (outcome, backoff)
}

fn choose_key(content: &RequestContent, rng: &mut StdRng) -> u16 {
    match rng.random_bool(0.4) {
        _ if content.fixed_path.is_some() => HOT_KEYS.start,
        true => rng.random_range(HOT_KEYS),
        false => rng.random(),
    }
}

fn build_request(
    content: &RequestContent,
    id: &str,
    key: Option<u16>,
    timeout: Duration,
    rng: &mut StdRng,
) -> Request<Full<Bytes>> {
    let kind = content.kind;
    let body = match (kind.is_idempotent(), &content.fixed_path) {
        (true, _) => String::new(),
        (false, Some(path)) => path.clone(),
        (false, None) => "b".repeat(rng.random_range(1..8_000)),
    };
    let mut request = Request::new(Full::new(Bytes::from(body)));
    if !kind.is_idempotent() {
        *request.method_mut() = http::Method::POST;
    }
    let last = content.fixed_path.as_deref().unwrap_or(id);
    let target = format!("{}{last}", soak_routes::route_prefix(kind));
    *request.uri_mut() = target.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert("host", http::HeaderValue::from_static(soak_routes::HOST));
    let request_headers = RequestHeaders {
        request_id: http::HeaderValue::from_str(id).ok(),
        caller_timeout: Some(timeout),
        key,
    };
    request_headers.set(headers);
    request
}

/// Whether the instance closes the connection after this answer.
fn closes_connection(response: &Response<Bytes>) -> bool {
    let value = response.headers().get(http::header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Returns what is wrong with the answer to request `id`; `None` if it is valid.
fn answer_error(id: &str, response: &Response<Bytes>) -> Option<&'static str> {
    let headers = ServerHeaders::from(response.headers());
    let is_own = headers.request_id.is_some_and(|own| own == id);
    match (is_own, response.status().is_success(), headers.is_signed) {
        (false, _, _) => Some("the identifier of another request"),
        (true, true, false) => Some("a success without a signature"),
        (true, true, true) => answer_body::body_error(id, response.body()),
        (true, false, _) => None,
    }
}
