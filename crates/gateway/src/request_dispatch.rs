//! Leading one request through its attempts.

use crate::{
    found_server::FoundServer,
    hop_headers,
    prelude::*,
    server_finder,
    tried_servers::{TriedServers, WrongRecord},
};

/// Connections that may fail for one request before it is refused.
const MAX_DIALS: usize = 3;

/// What to do after an attempt.
enum NextStep {
    End(CallOutcome),
    Again,
}

/// Leads a call to its end.
pub(crate) async fn run(node: &Arc<GatewayNode>, call: &CallerCall) -> CallOutcome {
    let state = node.service(&call.service);
    state
        .retries
        .lock()
        .unwrap()
        .record_request(call.arrived_at);
    let mut tried = TriedServers::default();
    let mut dials = 0;
    let mut failed: Option<Response<Bytes>> = None;
    loop {
        let found = match server_finder::find(node, call, &state, &mut tried).await {
            Ok(found) => found,
            Err(reason) => return give_up(node, call, &state, reason, failed),
        };
        let result = attempt(node, call, &state, &found).await;
        note_attempt(node, call, &found, &result);
        if let AttemptResult::NotSent(_) | AttemptResult::ConnectionRefused = result {
            dials += 1;
        }
        tried.marks.push(found.server.incarnation().clone());
        if let AttemptResult::Misdirected = result {
            let now = node.now();
            tried.wrong = found
                .key_revision
                .map(|revision| WrongRecord::new(revision, now));
        }
        drop(found);
        match next_step(node, call, &state, result, dials, &mut failed) {
            NextStep::End(outcome) => return outcome,
            NextStep::Again => {}
        }
    }
}

/// Outcome when no server is found: what an earlier attempt brought, or a refusal.
fn give_up(
    node: &GatewayNode,
    call: &CallerCall,
    state: &ServiceState,
    reason: RefusalReason,
    failed: Option<Response<Bytes>>,
) -> CallOutcome {
    if let Some(response) = failed {
        return CallOutcome::Served(response);
    }
    if call.progress.may_have_run() {
        return CallOutcome::Failed(FailureReason::NoAnswer);
    }
    refusal(node, call, state, reason)
}

fn next_step(
    node: &GatewayNode,
    call: &CallerCall,
    state: &ServiceState,
    result: AttemptResult,
    dials: usize,
    failed: &mut Option<Response<Bytes>>,
) -> NextStep {
    let refuse = |reason| {
        NextStep::End(match call.progress.may_have_run() {
            true => CallOutcome::Failed(FailureReason::NoAnswer),
            false => refusal(node, call, state, reason),
        })
    };
    match result {
        AttemptResult::Answered(response) => NextStep::End(CallOutcome::Served(response)),
        AttemptResult::NotSent(_) | AttemptResult::ConnectionRefused => match dials < MAX_DIALS {
            true => NextStep::Again,
            false => refuse(RefusalReason::NoServer),
        },
        AttemptResult::NotRun | AttemptResult::Misdirected => match may_repeat(node, call, state) {
            true => NextStep::Again,
            false => refuse(RefusalReason::NotRun),
        },
        AttemptResult::Failed(response) => {
            if call.route.idempotent && may_repeat(node, call, state) {
                *failed = Some(response);
                return NextStep::Again;
            }
            NextStep::End(CallOutcome::Served(response))
        }
        AttemptResult::Unclear(_) => match call.route.idempotent && may_repeat(node, call, state) {
            true => NextStep::Again,
            false => NextStep::End(CallOutcome::Failed(FailureReason::NoAnswer)),
        },
    }
}

/// Whether another server may be sent the request; takes it out of the budget.
fn may_repeat(node: &GatewayNode, call: &CallerCall, state: &ServiceState) -> bool {
    let now = node.now();
    let sends = call.progress.attempts_sent.load(Ordering::Relaxed);
    sends < call.route.max_attempts as usize
        && call.time_left(now).as_secs_f64() > state.mean_response_time() * 0.5
        && state
            .retries
            .lock()
            .unwrap()
            .try_take(now, node.instance_count())
}

fn refusal(
    node: &GatewayNode,
    call: &CallerCall,
    state: &ServiceState,
    reason: RefusalReason,
) -> CallOutcome {
    let now = node.now();
    let servers = node.usable_servers(&call.service);
    let choice = ServerSelector {
        assumptions: state.outlook(&call.route.name),
        ..node.choice
    };
    let mut summary = LoadSummary {
        servers: servers.len(),
        waiting: state.waiting(),
        min_expected: Duration::MAX,
        ..LoadSummary::default()
    };
    for server in servers.iter() {
        let load = server.load.lock().unwrap();
        summary.ejected += usize::from(load.is_ejected(now));
        summary.with_room += usize::from(choice.has_room(&load, now));
        let expected = Duration::from_secs_f64(load.expected_completion(now, choice.assumptions));
        summary.min_expected = summary.min_expected.min(expected);
    }
    CallOutcome::Refused(
        reason,
        pause_of(node, state, reason, summary.with_room),
        summary,
    )
}

/// When a refused caller should come back.
fn pause_of(
    node: &GatewayNode,
    state: &ServiceState,
    reason: RefusalReason,
    with_room: usize,
) -> Duration {
    /// Time in which a range on its way usually arrives.
    const MOVE_PAUSE: Duration = Duration::from_millis(300);
    /// Longest pause after servers rejected a request though some have room: a new attempt may
    /// succeed at once.
    const REJECTED_PAUSE: Duration = Duration::from_millis(60);
    match reason {
        RefusalReason::NoOwner => MOVE_PAUSE,
        RefusalReason::NotRun if with_room > 0 => REJECTED_PAUSE.mul_f64(rand::random()),
        _ => {
            let waiting = state.waiting();
            let mut drain = state.drain.lock().unwrap();
            drain.retry_after(waiting, node.now(), rand::random())
        }
    }
}

/// Sends the call to a server and judges the answer.
async fn attempt(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &ServiceState,
    found: &FoundServer,
) -> AttemptResult {
    let server = &found.server;
    let now = node.now();
    let mut link = match server.pool.connect(now, call.time_left(now)).await {
        Ok(link) => link,
        Err(ExchangeError::Refused(_)) => {
            server
                .load
                .lock()
                .unwrap()
                .record_connection_refused(node.now());
            return AttemptResult::ConnectionRefused;
        }
        Err(error) => {
            server.load.lock().unwrap().record_failure(node.now());
            return AttemptResult::NotSent(error.to_string());
        }
    };
    let sent_at = node.now();
    call.progress.in_flight.store(true, Ordering::Relaxed);
    call.progress.attempts_sent.fetch_add(1, Ordering::Relaxed);
    let request = outgoing(call, server, call.time_left(sent_at));
    // A silent server is given no new requests, but what it has is waited for: it may be at work.
    let exchange = link.exchange(request).await;
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
            call.progress
                .has_unclear_attempt
                .store(true, Ordering::Relaxed);
            server.load.lock().unwrap().record_failure(now);
            return AttemptResult::Unclear(error.to_string());
        }
    };
    let headers = ServerHeaders::from(response.headers());
    let mut load = server.load.lock().unwrap();
    load.record_answer(now);
    if let Some(report) = headers.load {
        load.apply_report(report, now);
        state
            .fill
            .lock()
            .unwrap()
            .record_report(load.foreign_occupancy(), now);
    }
    let facts = AnswerFacts {
        status: response.status().as_u16(),
        is_signed: headers.signed,
        has_request_id: headers.request_id == call.headers.request_id,
        not_executed: headers.not_executed,
        is_encoded: headers.encoded,
    };
    let verdict = facts.verdict();
    match verdict {
        AnswerVerdict::Deliver => {
            let took = now.since(sent_at);
            load.record_success(took, found.was_full);
            state.served(took);
            if !found.was_full {
                state.ran(&call.route.name, took);
            }
        }
        AnswerVerdict::Failed | AnswerVerdict::Unverified => {
            call.progress
                .has_unclear_attempt
                .store(true, Ordering::Relaxed);
            load.record_failure(now);
        }
        AnswerVerdict::NotRun | AnswerVerdict::Misdirected => {}
    }
    drop(load);
    if verdict != AnswerVerdict::Unverified && !headers.closes {
        let limit = node.idle_limit(server);
        server.pool.keep(link, headers.idle_timeout, limit, now);
    }
    match verdict {
        AnswerVerdict::Deliver => AttemptResult::Answered(response),
        AnswerVerdict::Failed => AttemptResult::Failed(response),
        AnswerVerdict::NotRun => AttemptResult::NotRun,
        AnswerVerdict::Misdirected => AttemptResult::Misdirected,
        AnswerVerdict::Unverified => AttemptResult::Unclear(format!("foreign answer {facts:?}")),
    }
}

fn outgoing(call: &CallerCall, server: &ServerRuntime, left: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    let mut headers = call.parts.headers.clone();
    hop_headers::strip(&mut headers);
    let added = ForwardHeaders {
        patience: left,
        server_id: &server.incarnation().id,
    };
    added.set(&mut headers);
    *request.headers_mut() = headers;
    request
}

fn note_attempt(
    node: &GatewayNode,
    call: &CallerCall,
    found: &FoundServer,
    result: &AttemptResult,
) {
    metrics::counter!(ATTEMPTS, "result" => result.label()).increment(1);
    let cause = match result {
        AttemptResult::Answered(_) => return,
        AttemptResult::NotSent(cause) | AttemptResult::Unclear(cause) => cause.as_str(),
        _ => "",
    };
    let now = node.now();
    if node.log.admit("attempt", now) {
        log::info!(
            id = call.headers.id_text(),
            server = found.server.incarnation().id.as_str(),
            service = call.service.as_str(),
            result = result.label(),
            cause,
            took_ms = now.since(found.started).as_millis() as u64,
            key_revision = found.key_revision.unwrap_or_default();
            "attempt failed"
        );
    }
}
