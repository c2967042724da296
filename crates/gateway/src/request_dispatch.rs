//! Runs a request: selects servers, sends attempts and decides on retries.

use crate::{
    attempt_history::{AttemptHistory, StaleRecord},
    hop_headers,
    prelude::*,
    quota_worker, server_finder,
    server_reservation::ServerReservation,
};

/// Number of failed connection attempts after which a request is refused.
const MAX_DIALS: usize = 3;

enum NextStep {
    End(CallOutcome),
    Retry,
}

pub(crate) async fn run(node: &Arc<GatewayNode>, call: &CallerCall) -> CallOutcome {
    let state = node.service(&call.service);
    state.budget.lock().record_request(call.arrived_at);
    let mut history = AttemptHistory::default();
    let mut failed_dials = 0;
    let mut last_failure: Option<Response<Bytes>> = None;
    loop {
        let reservation = match server_finder::find(node, call, &state, &mut history).await {
            Ok(reservation) => reservation,
            Err(reason) => return end_without_server(node, call, &state, reason, last_failure),
        };
        let result = send_attempt(node, call, &state, &reservation).await;
        record_attempt(node, call, &reservation, &result);
        if let AttemptResult::NotSent(_) | AttemptResult::Refused = result {
            failed_dials += 1;
        }
        history.tried.push(reservation.server.incarnation().clone());
        if let AttemptResult::Misdirected = result {
            let now = node.now();
            history.stale_record = reservation
                .key_revision
                .map(|revision| StaleRecord::new(revision, now));
        }
        drop(reservation);
        match next_step(node, call, &state, result, failed_dials, &mut last_failure) {
            NextStep::End(outcome) => return outcome,
            NextStep::Retry => {}
        }
    }
}

/// Outcome when no server is available: the result of an earlier attempt, or else a refusal.
fn end_without_server(
    node: &GatewayNode,
    call: &CallerCall,
    state: &ServiceState,
    reason: RefusalReason,
    last_failure: Option<Response<Bytes>>,
) -> CallOutcome {
    if let Some(response) = last_failure {
        return CallOutcome::Served(response);
    }
    if call.progress.may_have_run() {
        return CallOutcome::Failed(FailureReason::NoAnswer);
    }
    refuse(node, call, state, reason)
}

fn next_step(
    node: &GatewayNode,
    call: &CallerCall,
    state: &ServiceState,
    result: AttemptResult,
    failed_dials: usize,
    last_failure: &mut Option<Response<Bytes>>,
) -> NextStep {
    let end_refused = |reason| {
        NextStep::End(match call.progress.may_have_run() {
            true => CallOutcome::Failed(FailureReason::NoAnswer),
            false => refuse(node, call, state, reason),
        })
    };
    match result {
        AttemptResult::Answered(response) => NextStep::End(CallOutcome::Served(response)),
        AttemptResult::NotSent(_) | AttemptResult::Refused => match failed_dials < MAX_DIALS {
            true => NextStep::Retry,
            false => end_refused(RefusalReason::NoServer),
        },
        AttemptResult::NotRun | AttemptResult::Misdirected => match take_retry(node, call, state) {
            true => NextStep::Retry,
            false => end_refused(RefusalReason::NotRun),
        },
        AttemptResult::Failed(response) => {
            if call.route.idempotent && take_retry(node, call, state) {
                *last_failure = Some(response);
                return NextStep::Retry;
            }
            NextStep::End(CallOutcome::Served(response))
        }
        AttemptResult::Unclear(_) => match call.route.idempotent && take_retry(node, call, state) {
            true => NextStep::Retry,
            false => NextStep::End(CallOutcome::Failed(FailureReason::NoAnswer)),
        },
    }
}

/// Whether the request may be retried; if so, takes the retry from the budget.
fn take_retry(node: &GatewayNode, call: &CallerCall, state: &ServiceState) -> bool {
    let now = node.now();
    let attempts_sent = call.progress.attempts_sent.load(Ordering::Relaxed);
    attempts_sent < call.route.max_attempts as usize
        && call.time_left(now).as_secs_f64() > state.mean_response_time() * 0.5
        && state.budget.lock().try_take(now, node.instance_count())
}

fn refuse(
    node: &GatewayNode,
    call: &CallerCall,
    state: &ServiceState,
    reason: RefusalReason,
) -> CallOutcome {
    let now = node.now();
    let servers = node.usable_servers(&call.service);
    let selector = ServerSelector {
        assumptions: state.load_assumptions(&call.route.name),
        ..node.selector
    };
    let mut view = LoadView {
        servers: servers.len(),
        waiting: state.waiting(),
        min_expected: Duration::MAX,
        ..LoadView::default()
    };
    for server in servers.iter() {
        let load = server.load.lock();
        view.ejected += usize::from(load.is_ejected(now));
        view.with_room += usize::from(selector.has_room(&load, now));
        let expected = Duration::from_secs_f64(load.expected_completion(now, selector.assumptions));
        view.min_expected = view.min_expected.min(expected);
    }
    CallOutcome::Refused(reason, backoff(node, state, reason, view.with_room), view)
}

/// Time after which a refused caller should retry.
fn backoff(
    node: &GatewayNode,
    state: &ServiceState,
    reason: RefusalReason,
    with_room: usize,
) -> Duration {
    /// Typical duration of the move of a key range.
    const MOVE_RETRY_AFTER: Duration = Duration::from_millis(300);
    /// Maximum if servers rejected the request though some have room: a retry may succeed at once.
    const MAX_REJECTED_RETRY_AFTER: Duration = Duration::from_millis(60);
    match reason {
        RefusalReason::NoOwner => MOVE_RETRY_AFTER,
        RefusalReason::Limited(pause) => pause,
        RefusalReason::NotRun if with_room > 0 => MAX_REJECTED_RETRY_AFTER.mul_f64(rand::random()),
        _ => {
            let waiting = state.waiting();
            let mut completions = state.completions.lock();
            completions.retry_after(waiting, node.now(), rand::random())
        }
    }
}

async fn send_attempt(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &ServiceState,
    reservation: &ServerReservation,
) -> AttemptResult {
    let server = &reservation.server;
    let now = node.now();
    let mut connection = match server.pool.connect(now, call.time_left(now)).await {
        Ok(connection) => connection,
        Err(ExchangeError::ConnectionRefused(_)) => {
            server.load.lock().record_connection_refused(node.now());
            return AttemptResult::Refused;
        }
        Err(error) => {
            server.load.lock().record_failure(node.now());
            return AttemptResult::NotSent(error.to_string());
        }
    };
    let sent_at = node.now();
    if server.quota.lock().limit.per_second(sent_at).is_some() {
        metrics::counter!(LIMITED_ATTEMPTS).increment(1);
    }
    call.progress.in_flight.store(true, Ordering::Relaxed);
    call.progress.attempts_sent.fetch_add(1, Ordering::Relaxed);
    let request = forwarded(call, server, call.time_left(sent_at));
    // An unresponsive server gets no new requests, but this one is waited for: it may be running.
    let exchange = connection.exchange(request).await;
    call.progress.in_flight.store(false, Ordering::Relaxed);
    let now = node.now();
    let response = match exchange {
        Ok(response) => response,
        Err(ExchangeError::NotSent(cause)) => {
            call.progress.attempts_sent.fetch_sub(1, Ordering::Relaxed);
            server.pool.clear();
            return AttemptResult::NotSent(cause);
        }
        Err(error) => {
            call.progress.unclear_attempt.store(true, Ordering::Relaxed);
            server.load.lock().record_failure(now);
            return AttemptResult::Unclear(error.to_string());
        }
    };
    let headers = ServerHeaders::from(response.headers());
    let facts = AnswerFacts {
        status: response.status().as_u16(),
        is_signed: headers.is_signed,
        has_request_id: headers.request_id == call.headers.request_id,
        not_executed: headers.not_executed,
        is_encoded: headers.is_encoded,
    };
    let mut load = server.load.lock();
    load.record_answer(now);
    if let Some(report) = headers.load.filter(|_| facts.has_request_id) {
        load.apply_report(report, now);
        state
            .occupancy
            .lock()
            .record_report(load.foreign_occupancy(), now);
    }
    let verdict = facts.verdict();
    match verdict {
        AnswerVerdict::Deliver => {
            let took = now.since(sent_at);
            load.record_success(took, reservation.was_full);
            state.record_response_time(took);
            if !reservation.was_full {
                state.record_run_time(&call.route.name, took);
            }
        }
        AnswerVerdict::Failed | AnswerVerdict::Unverified => {
            call.progress.unclear_attempt.store(true, Ordering::Relaxed);
            load.record_failure(now);
        }
        AnswerVerdict::NotRun | AnswerVerdict::Misdirected => {}
    }
    drop(load);
    if !matches!(
        verdict,
        AnswerVerdict::Unverified | AnswerVerdict::Misdirected
    ) {
        apply_limit(node, server, headers.limit, sent_at);
    }
    if verdict != AnswerVerdict::Unverified && !headers.closes_connection {
        let max = node.max_idle_connections(server);
        server.pool.keep(connection, headers.idle_timeout, max, now);
    }
    match verdict {
        AnswerVerdict::Deliver => AttemptResult::Answered(response),
        AnswerVerdict::Failed => AttemptResult::Failed(response),
        AnswerVerdict::NotRun => AttemptResult::NotRun,
        AnswerVerdict::Misdirected => AttemptResult::Misdirected,
        AnswerVerdict::Unverified => AttemptResult::Unclear(format!("unverified answer {facts:?}")),
    }
}

/// Applies what an answer says about the server's limit.
fn apply_limit(node: &GatewayNode, server: &ServerRuntime, notice: LimitNotice, sent_at: MonoTime) {
    let now = node.now();
    if notice == LimitNotice::Unreadable {
        metrics::counter!(UNREADABLE_LIMITS).increment(1);
        if node.log.allow("limit", now) {
            let id = server.incarnation().id.as_str();
            log::warn!(server = id; "limit of a server cannot be read");
        }
    }
    let change = {
        let mut quota = server.quota.lock();
        quota.limit.apply(notice, sent_at, now)
    };
    quota_worker::log_change(server, change, "answer");
}

fn forwarded(call: &CallerCall, server: &ServerRuntime, left: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    let mut headers = call.parts.headers.clone();
    hop_headers::strip(&mut headers);
    let added = ForwardHeaders {
        time_left: left,
        server_id: &server.incarnation().id,
    };
    added.set(&mut headers);
    *request.headers_mut() = headers;
    request
}

fn record_attempt(
    node: &GatewayNode,
    call: &CallerCall,
    reservation: &ServerReservation,
    result: &AttemptResult,
) {
    metrics::counter!(ATTEMPTS, "result" => result.label()).increment(1);
    let cause = match result {
        AttemptResult::Answered(_) => return,
        AttemptResult::NotSent(cause) | AttemptResult::Unclear(cause) => cause.as_str(),
        _ => "",
    };
    let now = node.now();
    if node.log.allow("attempt", now) {
        log::info!(
            id = call.headers.id_text(),
            server = reservation.server.incarnation().id.as_str(),
            service = call.service.as_str(),
            result = result.label(),
            cause,
            took_ms = now.since(reservation.reserved_at).as_millis() as u64,
            key_revision = reservation.key_revision.unwrap_or_default();
            "attempt failed"
        );
    }
}
