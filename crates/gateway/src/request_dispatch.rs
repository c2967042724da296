//! Runs a request: selects servers, sends attempts and decides on retries.

use crate::{
    attempt_history::{AttemptHistory, StaleRecord},
    attempt_sender,
    prelude::*,
    quarantine_worker::{self, Admission},
    reach_worker, relay_client, server_finder,
};

/// Number of failed connection attempts after which a request is refused.
const MAX_DIALS: usize = 3;

/// Number of servers that may crash under a request before it is sent to no further one.
const MAX_CRASHES: usize = 2;

enum NextStep {
    End(CallOutcome),
    Retry,
}

pub(crate) async fn run(node: &Arc<GatewayNode>, call: &CallerCall) -> CallOutcome {
    let pass = match quarantine_worker::admit(node, call).await {
        Admission::Admitted(pass) => pass,
        Admission::Held(pause) => return held(pause),
    };
    let state = node.service(&call.service);
    let mut is_counted = false;
    let mut history = AttemptHistory::default();
    let mut failed_dials = 0;
    let mut crashes = 0;
    let mut last_failure: Option<Response<StoredBody>> = None;
    loop {
        let found = server_finder::find(node, call, &state, &mut history).await;
        if let (Err(RefusalReason::Unreachable), false) = (&found, call.is_relayed) {
            if let Some(outcome) = relay_client::send(node, call).await {
                return truthful(call, outcome);
            }
            // No other instance helps, so this one's own check may be wrong.
            history.ignores_reach = true;
            continue;
        }
        // A request that another instance runs counts towards the budget there.
        if !std::mem::replace(&mut is_counted, true) {
            state.budget.lock().record_request(call.arrived_at);
        }
        let reservation = match found {
            Ok(reservation) => reservation,
            Err(reason) => return end_without_server(node, call, &state, reason, last_failure),
        };
        if let Some(pause) = quarantine_worker::held_since(node, call, pass.as_ref()) {
            return match call.progress.may_have_run() {
                true => CallOutcome::Failed(FailureReason::NoAnswer),
                false => held(pause),
            };
        }
        let result = attempt_sender::send_attempt(node, call, &state, &reservation).await;
        attempt_sender::record_attempt(node, call, &reservation, &result);
        if let AttemptResult::NotSent(_) | AttemptResult::Refused = result {
            failed_dials += 1;
            let centre = &reservation.server.entry.data_centre;
            reach_worker::wait_for_check(node, centre).await;
        }
        if let AttemptResult::ConnectionLost(_) = result {
            let server = &reservation.server;
            if quarantine_worker::record_lost_connection(node, call, &state, server).await {
                crashes += 1;
                if !may_retry_after_crash(node, call, &state, crashes) {
                    return CallOutcome::Failed(FailureReason::NoAnswer);
                }
            }
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

/// The outcome, unless it says that a request has not run which may have run in an earlier attempt.
fn truthful(call: &CallerCall, outcome: CallOutcome) -> CallOutcome {
    match outcome {
        CallOutcome::Refused(..) if call.progress.may_have_run() => {
            CallOutcome::Failed(FailureReason::NoAnswer)
        }
        _ => outcome,
    }
}

fn held(pause: Duration) -> CallOutcome {
    let reason = RefusalReason::Quarantined(pause);
    CallOutcome::Refused(reason, pause, LoadView::default())
}

/// Whether a request may be sent to another server after `crashes` servers crashed under it.
fn may_retry_after_crash(
    node: &GatewayNode,
    call: &CallerCall,
    state: &ServiceState,
    crashes: usize,
) -> bool {
    let now = node.now();
    let servers = node.usable_servers(&call.service).len();
    let known = node.suspects.lock().crashes(call.identity());
    crashes < MAX_CRASHES && known < MAX_CRASHES && state.crashes.lock().allows_retry(servers, now)
}

/// Outcome when no server is available: the result of an earlier attempt, or else a refusal.
fn end_without_server(
    node: &GatewayNode,
    call: &CallerCall,
    state: &ServiceState,
    reason: RefusalReason,
    last_failure: Option<Response<StoredBody>>,
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
    last_failure: &mut Option<Response<StoredBody>>,
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
        AttemptResult::Evicted => NextStep::End(CallOutcome::evicted()),
        AttemptResult::Failed(response) => {
            if call.route.idempotent && take_retry(node, call, state) {
                *last_failure = Some(response);
                return NextStep::Retry;
            }
            NextStep::End(CallOutcome::Served(response))
        }
        AttemptResult::Unclear(_) | AttemptResult::ConnectionLost(_) => {
            match call.route.idempotent && take_retry(node, call, state) {
                true => NextStep::Retry,
                false => NextStep::End(CallOutcome::Failed(FailureReason::NoAnswer)),
            }
        }
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
    /// Time over which callers come back after the rest of a server.
    const REST_SPREAD: Duration = Duration::from_millis(400);
    /// Maximum if servers rejected the request though some have room: a retry may succeed at once.
    const MAX_REJECTED_RETRY_AFTER: Duration = Duration::from_millis(60);
    match reason {
        RefusalReason::NoOwner => MOVE_RETRY_AFTER,
        RefusalReason::Limited(pause) | RefusalReason::Quarantined(pause) => pause,
        // One request shows whether the rest has ended, so the callers come back over some time.
        RefusalReason::Resting(pause) => pause + REST_SPREAD.mul_f64(rand::random()),
        RefusalReason::NotRun if with_room > 0 => MAX_REJECTED_RETRY_AFTER.mul_f64(rand::random()),
        _ => {
            let waiting = state.waiting();
            let mut completions = state.completions.lock();
            completions.retry_after(waiting, node.now(), rand::random())
        }
    }
}
