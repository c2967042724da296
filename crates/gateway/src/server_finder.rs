//! Finds a server for a request, and queues the request for a short time if no server has room.

use crate::{
    attempt_history::AttemptHistory, lookup_outcome::LookupOutcome, prelude::*,
    server_lookup::ServerLookup, server_reservation::ServerReservation,
};

/// Share of the target latency that a request may wait for room. Beyond that it is refused, so that
/// its caller can try another instance.
const WAIT_SHARE: f64 = 0.3;
/// Share of the target latency that a request may wait while its key's range is being moved: the
/// move takes as long as the requests that are running on the range.
const MOVE_WAIT_SHARE: f64 = 0.9;
/// Share of the time until the deadline that a request may wait if it can no longer meet its target
/// latency: after another refusal its caller would have no attempts left.
const LATE_WAIT_SHARE: f64 = 0.35;
/// Time that a request waits for an answer to its instance's ask for tokens.
const TOKEN_WAIT: Duration = Duration::from_millis(80);
/// Interval at which a waiting request looks for a server again without being notified.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Finds a server for the call, waiting if necessary, or returns the reason to refuse it.
pub(crate) async fn find(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &Arc<ServiceState>,
    history: &mut AttemptHistory,
) -> Result<ServerReservation, RefusalReason> {
    let started_at = node.now();
    let result = wait_for_server(node, call, state, history, started_at).await;
    history.waited += node.now().since(started_at);
    result
}

async fn wait_for_server(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &Arc<ServiceState>,
    history: &AttemptHistory,
    started_at: MonoTime,
) -> Result<ServerReservation, RefusalReason> {
    let mut place = QueuePlace::new(state);
    loop {
        let slot_freed = state.slot_freed.listen();
        let keys_changed = node.keys_changed.listen();
        let lookup = ServerLookup::new(node, call, state, history, place.ticket);
        let (rank, now) = (lookup.rank, lookup.now);
        let reason = match lookup.run() {
            LookupOutcome::Reserved(reservation) => return Ok(reservation),
            LookupOutcome::Refuse(reason) => return Err(reason),
            LookupOutcome::Wait(reason) => reason,
        };
        let limit = wait_limit(call, reason, rank);
        let waited = history.waited + now.since(started_at);
        if waited >= limit || is_queue_too_long(state, rank, place.ticket, limit, now) {
            return Err(reason);
        }
        place.join(rank);
        let pause = RECHECK_INTERVAL.min(limit.saturating_sub(waited));
        let changed = future::or(slot_freed, keys_changed);
        future::or(changed, async {
            Timer::after(pause).await;
        })
        .await;
    }
}

/// Maximum time that a request may wait for a server, over all its attempts.
fn wait_limit(call: &CallerCall, reason: RefusalReason, rank: QueueRank) -> Duration {
    let left = call.time_left(call.arrived_at);
    let limit = match (reason, rank.is_late) {
        (RefusalReason::Limited(_), _) => TOKEN_WAIT,
        (RefusalReason::NoOwner, _) => call.route.target_latency.mul_f64(MOVE_WAIT_SHARE),
        (_, true) => left.mul_f64(LATE_WAIT_SHARE),
        (_, false) => call.route.target_latency.mul_f64(WAIT_SHARE),
    };
    limit.min(left)
}

/// Whether a request that has not joined the queue yet is expected to wait beyond its limit.
fn is_queue_too_long(
    state: &ServiceState,
    rank: QueueRank,
    ticket: Option<QueueTicket>,
    limit: Duration,
    now: MonoTime,
) -> bool {
    if ticket.is_some() {
        return false;
    }
    let ahead = state.with_queue(|queue| queue.ahead(rank)) as f64;
    let rate = state.completions.lock().per_second(now);
    ahead >= 1.0 && ahead / rate.max(1.0) > limit.as_secs_f64()
}

/// A request's place in the queue; leaves the queue on drop.
struct QueuePlace<'a> {
    state: &'a ServiceState,
    ticket: Option<QueueTicket>,
}

impl<'a> QueuePlace<'a> {
    fn new(state: &'a ServiceState) -> Self {
        Self {
            state,
            ticket: None,
        }
    }

    fn join(&mut self, rank: QueueRank) {
        self.ticket = Some(match self.ticket {
            None => self.state.with_queue(|queue| queue.join(rank)),
            Some(ticket) => self.state.with_queue(|queue| queue.rerank(ticket, rank)),
        });
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.state.leave_queue(ticket);
        }
    }
}
