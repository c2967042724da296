//! Sends attempts of requests to servers and judges the answers.

use crate::{
    hop_headers, prelude::*, quarantine_worker, quota_worker, reach_worker,
    sent_request::SentRequest, server_notices, server_reservation::ServerReservation,
    warmup_worker,
};

/// What to do with a request for which a connection is open.
enum SendStep {
    /// Send it with this body.
    Send(MessageBody),
    /// Keep the connection; the attempt has this result.
    End(AttemptResult),
}

/// Sends one attempt to the reserved server and judges its answer.
pub(crate) async fn send_attempt(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &ServiceState,
    reservation: &ServerReservation,
) -> AttemptResult {
    let server = &reservation.server;
    let now = node.now();
    let reset_margin = state.has_resets(now).then_some(ServerPool::RESET_MARGIN);
    let sent = SentRequest::from(&call.headers);
    let connected = server
        .pool
        .connect(sent, now, call.time_left(now), reset_margin);
    let mut connection = match connected.await {
        Ok(connection) => connection,
        Err(ExchangeError::ConnectionRefused(_)) => {
            state.record_reset(node.now());
            server.load.lock().record_connection_refused(node.now());
            reach_worker::record_failure(node, &server.entry, ReachFailure::Closed);
            return AttemptResult::Refused;
        }
        Err(error) => {
            server.load.lock().record_failure(node.now());
            reach_worker::record_failure(node, &server.entry, ReachFailure::Silent);
            return AttemptResult::NotSent(error.to_string());
        }
    };
    let sent_at = node.now();
    let body = match next_step(node, call, reservation, sent_at) {
        SendStep::Send(body) => body,
        SendStep::End(result) => {
            let max = node.max_idle_connections(server);
            server.pool.keep(connection, None, max, sent_at);
            return result;
        }
    };
    if reservation.has_token {
        metrics::counter!(LIMITED_ATTEMPTS).increment(1);
    }
    if reservation.is_cold {
        metrics::counter!(COLD_ATTEMPTS).increment(1);
    }
    call.progress.in_flight.store(true, Ordering::Relaxed);
    call.progress.attempts_sent.fetch_add(1, Ordering::Relaxed);
    let request = forwarded(call, body, server, call.time_left(sent_at));
    // An unresponsive server gets no new requests, but this one is waited for: it may be running.
    // One that may be repeated goes elsewhere if the server is out of this instance's reach.
    let is_new = connection.is_new();
    let given_up = async {
        reach_worker::wait_until_lost(node, server).await;
        match call.route.idempotent {
            true => Err(ExchangeError::TimedOut),
            false => std::future::pending().await,
        }
    };
    let exchange = connection.exchange(sent, request, &node.body_memory);
    let exchange = future::or(exchange, given_up).await;
    call.progress.in_flight.store(false, Ordering::Relaxed);
    let now = node.now();
    let response = match exchange {
        Ok(response) => response,
        Err(ExchangeError::NotSent(cause)) => {
            call.progress.attempts_sent.fetch_sub(1, Ordering::Relaxed);
            server.pool.clear();
            if is_new {
                state.record_reset(now);
                reach_worker::record_failure(node, &server.entry, ReachFailure::Closed);
            }
            return AttemptResult::NotSent(cause);
        }
        Err(error) => {
            call.progress.unclear_attempt.store(true, Ordering::Relaxed);
            server.load.lock().record_failure(now);
            if is_new {
                state.record_reset(now);
                reach_worker::record_failure(node, &server.entry, ReachFailure::Closed);
            }
            let cause = error.to_string();
            return match error {
                ExchangeError::ConnectionLost(_) => AttemptResult::ConnectionLost(cause),
                _ => AttemptResult::Unclear(cause),
            };
        }
    };
    if is_new {
        node.reach
            .lock()
            .record_connected(&server.entry.data_centre);
    }
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
    if verdict == AnswerVerdict::Deliver {
        quarantine_worker::record_success(node, call);
    }
    if !matches!(
        verdict,
        AnswerVerdict::Unverified | AnswerVerdict::Misdirected
    ) {
        apply_limit(node, server, headers.limit, sent_at);
        server_notices::apply(node, server, &headers, response.status());
        warmup_worker::apply_answer(node, server, headers.warmup_left);
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
    quota_worker::update_limit(server, "answer", |limit| limit.apply(notice, sent_at, now));
}

/// Decides what to do now that a connection is open: server and body may have changed since the
/// reservation.
fn next_step(
    node: &GatewayNode,
    call: &CallerCall,
    reservation: &ServerReservation,
    now: MonoTime,
) -> SendStep {
    if !reservation.is_still_allowed(now, node.leaving_bounds()) {
        return SendStep::End(AttemptResult::NotSent("server leaves".into()));
    }
    if !warmup_worker::may_send(node, reservation, now) {
        return SendStep::End(AttemptResult::NotSent("server is cold".into()));
    }
    match call.body.forward() {
        Some(body) => SendStep::Send(body),
        None => SendStep::End(AttemptResult::Evicted),
    }
}

fn forwarded(
    call: &CallerCall,
    body: MessageBody,
    server: &ServerRuntime,
    left: Duration,
) -> Request<MessageBody> {
    let mut request = Request::new(body);
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

/// Counts an attempt, and logs it if it failed.
pub(crate) fn record_attempt(
    node: &GatewayNode,
    call: &CallerCall,
    reservation: &ServerReservation,
    result: &AttemptResult,
) {
    metrics::counter!(ATTEMPTS, "result" => result.label()).increment(1);
    let cause = match result {
        AttemptResult::Answered(_) => return,
        AttemptResult::NotSent(cause)
        | AttemptResult::Unclear(cause)
        | AttemptResult::ConnectionLost(cause) => cause.as_str(),
        _ => "",
    };
    let now = node.now();
    if node.log.allow("attempt", now) {
        let content = match result {
            AttemptResult::Unclear(_) | AttemptResult::ConnectionLost(_) => {
                call.identity().to_string()
            }
            _ => String::new(),
        };
        log::info!(
            id = call.headers.id_text(),
            server = reservation.server.incarnation().id.as_str(),
            service = call.service.as_str(),
            content = content.as_str(),
            result = result.label(),
            cause,
            took_ms = now.since(reservation.reserved_at).as_millis() as u64,
            key_revision:% = reservation.key_revision.unwrap_or_default();
            "attempt failed"
        );
    }
}
