//! Sends requests through other instances while this one does not reach their servers.
//!
//! The other instance, the helper, runs the request as if a caller had sent it, and sends it to no
//! third instance. Its answer says whether the request ran. A request that a helper declined or did
//! not get may go to another one.

use crate::{
    hop_headers,
    prelude::*,
    relay_terms::{RelayOutcome, RelayTerms},
};
use rand::seq::IndexedRandom;

/// Largest number of helpers that a request is sent to.
const MAX_HELPERS: usize = 3;
/// Time by which a helper's deadline is earlier than the caller's, for its answer's way back.
const RETURN_TIME: Duration = Duration::from_millis(10);
/// Largest answer of a helper, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Assumed time of a helper's answer before the first one, in seconds.
const INITIAL_ANSWER_TIME: f64 = 0.2;
/// Number of requests that a helper is assumed to run at the same time.
const HELPER_SLOTS: u32 = 64;

/// Connections to one helper, and how it answered.
pub(crate) struct HelperState {
    http: HttpClient,
    load: StateMutex<LoadTracker>,
}

/// Helpers by the address at which they accept requests of other instances.
#[derive(Default)]
pub(crate) struct HelperTable {
    helpers: StateMutex<IndexMap<SocketAddr, Arc<HelperState>>>,
}

/// Result of sending a request to one helper.
enum HelperResult {
    /// The helper's answer decides.
    Ended(CallOutcome),
    /// The request has not run, and another helper may run it.
    Declined,
}

impl HelperTable {
    fn helper(&self, node: &GatewayNode, address: SocketAddr) -> Arc<HelperState> {
        let mut helpers = self.helpers.lock();
        let helper = helpers.entry(address).or_insert_with(|| {
            Arc::new(HelperState {
                http: HttpClient::new(node.workers.clone(), TcpDialer::direct(), address)
                    .with_budget(&node.body_memory),
                load: StateMutex::new(LoadTracker::new(HELPER_SLOTS, INITIAL_ANSWER_TIME)),
            })
        });
        helper.clone()
    }

    /// Closes idle connections, and forgets helpers that are not used.
    pub(crate) fn close_idle(&self, now: MonoTime) {
        let mut helpers = self.helpers.lock();
        helpers.retain(|_, helper| {
            helper.http.close_idle();
            let is_ejected = helper.load.lock().is_ejected(now);
            Arc::strong_count(helper) > 1 || helper.http.has_idle() || is_ejected
        });
    }
}

/// Counts a request at its helper until it is dropped.
struct HelperUse {
    helper: Arc<HelperState>,
}

impl HelperUse {
    fn start(helper: &Arc<HelperState>, now: MonoTime) -> Self {
        helper.load.lock().request_started(now);
        Self {
            helper: helper.clone(),
        }
    }
}

impl Drop for HelperUse {
    fn drop(&mut self) {
        self.helper.load.lock().request_ended();
    }
}

/// Sends a request through another instance; `None` if there is none that takes it.
pub(crate) async fn send(node: &GatewayNode, call: &CallerCall) -> Option<CallOutcome> {
    let mut tried = Vec::new();
    for _ in 0..MAX_HELPERS {
        let attempts_sent = call.progress.attempts_sent.load(Ordering::Relaxed);
        if attempts_sent >= call.route.max_attempts as usize {
            let pause = RelayOutcome::DEFAULT_PAUSE;
            let outcome = CallOutcome::Refused(RefusalReason::NotRun, pause, LoadView::default());
            return Some(outcome);
        }
        let address = choose_helper(node, &tried)?;
        tried.push(address);
        let helper = node.helpers.helper(node, address);
        let started_at = node.now();
        let result = send_to(node, call, &helper).await;
        let label = match &result {
            HelperResult::Declined => "declined",
            HelperResult::Ended(CallOutcome::Served(_)) => "served",
            HelperResult::Ended(CallOutcome::Refused(..)) => "refused",
            HelperResult::Ended(CallOutcome::Failed(_)) => "failed",
        };
        metrics::counter!(RELAYS, "result" => label).increment(1);
        let now = node.now();
        if node.log.allow("relay", now) {
            log::info!(
                id = call.headers.id_text(),
                service = call.service.as_str(),
                helper = address.to_string().as_str(),
                result = label,
                took_ms = now.since(started_at).as_millis() as u64;
                "request sent through another instance"
            );
        }
        if let HelperResult::Ended(outcome) = result {
            return Some(outcome);
        }
    }
    None
}

/// Selects the less used of two random helpers: of this data centre while at least half of its
/// instances can help, and of all otherwise.
fn choose_helper(node: &GatewayNode, tried: &[SocketAddr]) -> Option<SocketAddr> {
    let now = node.now();
    let candidates = node.peers.lock().helpers(now);
    let is_usable = |address: &SocketAddr| {
        let helper = node.helpers.helper(node, *address);
        !tried.contains(address) && !helper.load.lock().is_ejected(now)
    };
    let local = candidates.local.iter().copied().filter(is_usable);
    let mut usable: Vec<SocketAddr> = local.collect();
    if usable.len() * 2 < candidates.local_instances {
        usable.extend(candidates.remote.iter().copied().filter(is_usable));
    }
    let own_requests = |address: &SocketAddr| {
        let helper = node.helpers.helper(node, *address);
        let load = helper.load.lock();
        load.own_requests()
    };
    let drawn = usable.sample(&mut rand::rng(), 2);
    drawn.min_by_key(|address| own_requests(address)).copied()
}

async fn send_to(node: &GatewayNode, call: &CallerCall, helper: &Arc<HelperState>) -> HelperResult {
    let sent_at = node.now();
    let left = call.time_left(sent_at).saturating_sub(RETURN_TIME);
    let limits = ExchangeLimits {
        timeout: left,
        reused_timeout: left,
        stall_timeout: None,
        max_answer_bytes: MAX_ANSWER_BYTES,
    };
    let guard = HelperUse::start(helper, sent_at);
    let Some(body) = call.body.forward() else {
        return HelperResult::Ended(CallOutcome::evicted());
    };
    call.progress.in_flight.store(true, Ordering::Relaxed);
    let request = relayed(call, body, left);
    let answer = helper.http.exchange_stored(request, limits).await;
    call.progress.in_flight.store(false, Ordering::Relaxed);
    drop(guard);
    let now = node.now();
    let mut load = helper.load.lock();
    match answer {
        Ok(response) => {
            load.record_answer(now);
            load.record_success(now.since(sent_at), false);
            drop(load);
            read_answer(node, call, response)
        }
        Err(ExchangeError::ConnectionRefused(_) | ExchangeError::NotSent(_)) => {
            load.record_connection_refused(now);
            HelperResult::Declined
        }
        Err(_) => {
            load.record_connection_refused(now);
            call.progress.unclear_attempt.store(true, Ordering::Relaxed);
            call.progress.attempts_sent.fetch_add(1, Ordering::Relaxed);
            match call.route.idempotent {
                true => HelperResult::Declined,
                false => HelperResult::Ended(CallOutcome::Failed(FailureReason::NoAnswer)),
            }
        }
    }
}

fn read_answer(
    node: &GatewayNode,
    call: &CallerCall,
    mut response: Response<StoredBody>,
) -> HelperResult {
    node.compare_configuration(RelayOutcome::take_revision(response.headers_mut()));
    let outcome = RelayOutcome::take(response.headers_mut());
    let attempts = RelayOutcome::take_attempts(response.headers_mut());
    let progress = &call.progress;
    progress
        .attempts_sent
        .fetch_add(attempts, Ordering::Relaxed);
    HelperResult::Ended(match outcome {
        Some(RelayOutcome::Served) => CallOutcome::Served(response),
        Some(RelayOutcome::Refused) => {
            let pause = RelayOutcome::retry_after(response.headers());
            CallOutcome::Refused(RefusalReason::Helper, pause, LoadView::default())
        }
        Some(RelayOutcome::Declined) => return HelperResult::Declined,
        Some(RelayOutcome::Failed) | None => {
            call.progress.unclear_attempt.store(true, Ordering::Relaxed);
            CallOutcome::Failed(match response.status() {
                StatusCode::GATEWAY_TIMEOUT => FailureReason::TimedOut,
                _ => FailureReason::NoAnswer,
            })
        }
    })
}

fn relayed(call: &CallerCall, body: MessageBody, left: Duration) -> Request<MessageBody> {
    let mut request = Request::new(body);
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    let mut headers = call.parts.headers.clone();
    hop_headers::strip(&mut headers);
    let own = RequestHeaders {
        caller_timeout: Some(left),
        ..call.headers.clone()
    };
    own.set(&mut headers);
    let sent = call.progress.attempts_sent.load(Ordering::Relaxed) as u32;
    let terms = RelayTerms {
        service: call.service.clone(),
        max_attempts: call.route.max_attempts.saturating_sub(sent),
        is_idempotent: call.route.idempotent,
        revision: call.configuration_revision,
    };
    terms.set(&mut headers);
    *request.headers_mut() = headers;
    request
}
