//! Finding a server for a request, waiting a moment if none has room.

use crate::{
    found_server::FoundServer,
    prelude::*,
    search_look::{LookStep, SearchLook},
    tried_servers::TriedServers,
};

/// Share of the target latency that a request may wait here for room; what waits longer should
/// have been refused, so that its caller can go elsewhere.
const WAIT_SHARE: f64 = 0.3;
/// The same while the key's range moves, which takes as long as the work that runs on it.
const MOVE_WAIT_SHARE: f64 = 0.9;
/// Share of the time left that a request may wait whose target cannot be made any more: sending
/// its caller away again would cost it the last of its tries.
const LATE_WAIT_SHARE: f64 = 0.35;
/// Time after which a waiting request looks again without being told to.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// Finds a server for the call, or why there is none.
pub(crate) async fn find(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &Arc<ServiceState>,
    tried: &mut TriedServers,
) -> Result<FoundServer, RefusalReason> {
    let began = node.now();
    let found = search(node, call, state, tried, began).await;
    tried.waited += node.now().since(began);
    found
}

async fn search(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &Arc<ServiceState>,
    tried: &TriedServers,
    began: MonoTime,
) -> Result<FoundServer, RefusalReason> {
    let mut seat = QueueSeat::new(state);
    loop {
        let freed = state.freed.listen();
        let keys_changed = node.keys_changed.listen();
        let look = SearchLook::new(node, call, state, tried, seat.ticket);
        let (rank, now) = (look.rank, look.now);
        let reason = match look.step() {
            LookStep::Found(found) => return Ok(found),
            LookStep::Refuse(reason) => return Err(reason),
            LookStep::Wait(reason) => reason,
        };
        let limit = wait_limit(call, reason, rank);
        let waited = tried.waited + now.since(began);
        if waited >= limit || is_queue_hopeless(state, rank, seat.ticket, limit, now) {
            return Err(reason);
        }
        seat.take(rank);
        let pause = LOOK_AGAIN.min(limit.saturating_sub(waited));
        let changed = future::or(freed, keys_changed);
        future::or(changed, async {
            Timer::after(pause).await;
        })
        .await;
    }
}

/// Longest time that a request may wait here for room, over all its attempts.
fn wait_limit(call: &CallerCall, reason: RefusalReason, rank: QueueRank) -> Duration {
    let left = call.time_left(call.arrived_at);
    let limit = match (reason, rank.is_late) {
        (RefusalReason::NoOwner, _) => call.route.target_latency.mul_f64(MOVE_WAIT_SHARE),
        (_, true) => left.mul_f64(LATE_WAIT_SHARE),
        (_, false) => call.route.target_latency.mul_f64(WAIT_SHARE),
    };
    limit.min(left)
}

/// Whether a request that has not joined the queue yet would wait beyond its limit.
fn is_queue_hopeless(
    state: &ServiceState,
    rank: QueueRank,
    ticket: Option<QueueTicket>,
    limit: Duration,
    now: MonoTime,
) -> bool {
    if ticket.is_some() {
        return false;
    }
    let ahead = state.queue(|queue| queue.ahead(rank)) as f64;
    let rate = state.drain.lock().unwrap().per_second(now);
    ahead >= 1.0 && ahead / rate.max(1.0) > limit.as_secs_f64()
}

/// A place in the queue, given up when dropped.
struct QueueSeat<'a> {
    state: &'a ServiceState,
    ticket: Option<QueueTicket>,
}

impl<'a> QueueSeat<'a> {
    fn new(state: &'a ServiceState) -> Self {
        Self {
            state,
            ticket: None,
        }
    }

    fn take(&mut self, rank: QueueRank) {
        self.ticket = Some(match self.ticket {
            None => self.state.queue(|queue| queue.join(rank)),
            Some(ticket) => self.state.queue(|queue| queue.rerank(ticket, rank)),
        });
    }
}

impl Drop for QueueSeat<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.state.leave(ticket);
        }
    }
}
