//! Finding a server for a request, waiting a moment if none has room.

use crate::prelude::*;

/// A server that was found, counted as in use until dropped.
pub(crate) struct FoundServer {
    pub(crate) server: Arc<ServerRuntime>,
    pub(crate) started: MonoTime,
    /// Whether it had no free slot when it was found.
    pub(crate) was_full: bool,
    /// Revision of the key record that named it.
    pub(crate) key_revision: Option<u64>,
    state: Arc<ServiceState>,
    clock: SteadyClock,
}

impl Drop for FoundServer {
    fn drop(&mut self) {
        self.server.load.lock().unwrap().ended();
        self.state.drain.lock().unwrap().ended(self.clock.now());
        self.state.freed.notify(usize::MAX);
    }
}

/// What has been tried for a request.
#[derive(Default)]
pub(crate) struct TriedServers {
    /// Servers that it was sent to or could not be.
    pub(crate) marks: Vec<ServerMark>,
    /// Revision of a key record that named a server which does not hold the key.
    pub(crate) wrong_revision: Option<u64>,
}

/// One look at the servers.
enum LookStep {
    Found(FoundServer),
    Wait(RefusalReason),
    Refuse(RefusalReason),
}

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
/// Time for which a record that proved wrong is waited out, if no newer one comes.
const WRONG_RECORD_TIME: Duration = Duration::from_millis(250);

/// Finds a server for the call, or why there is none.
pub(crate) async fn find(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &Arc<ServiceState>,
    tried: &TriedServers,
) -> Result<FoundServer, RefusalReason> {
    let began = node.now();
    let mut seat = QueueSeat::new(state);
    loop {
        let freed = state.freed.listen();
        let keys_changed = node.keys_changed.listen();
        let now = node.now();
        let rank = rank_of(node, call, now);
        let reason = match look(node, call, state, tried, seat.ticket, began, now) {
            LookStep::Found(found) => return Ok(found),
            LookStep::Refuse(reason) => return Err(reason),
            LookStep::Wait(reason) => reason,
        };
        let limit = wait_limit(call, reason, rank, began);
        let waited = now.since(began);
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

/// Rank of a request among those that wait.
fn rank_of(node: &GatewayNode, call: &CallerCall, now: MonoTime) -> QueueRank {
    let target_left = call.target_left(now).as_secs_f64();
    let least = node
        .usable_servers(&call.service)
        .iter()
        .map(|server| server.load.lock().unwrap().expected(now))
        .fold(f64::INFINITY, f64::min);
    QueueRank {
        is_late: least > target_left,
        priority: call.route.priority,
    }
}

/// Longest time that a request may wait here for room.
fn wait_limit(
    call: &CallerCall,
    reason: RefusalReason,
    rank: QueueRank,
    began: MonoTime,
) -> Duration {
    let left = call.left(began);
    let limit = match (reason, rank.is_late) {
        (RefusalReason::NoOwner, _) => call.route.target.mul_f64(MOVE_WAIT_SHARE),
        (_, true) => left.mul_f64(LATE_WAIT_SHARE),
        (_, false) => call.route.target.mul_f64(WAIT_SHARE),
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
    let rate = state.drain.lock().unwrap().rate(now);
    ahead >= 1.0 && ahead / rate.max(1.0) > limit.as_secs_f64()
}

fn look(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &Arc<ServiceState>,
    tried: &TriedServers,
    ticket: Option<QueueTicket>,
    began: MonoTime,
    now: MonoTime,
) -> LookStep {
    let is_keyed = node
        .route_table()
        .and_then(|table| table.services().get(&call.service).map(|rule| rule.keyed))
        .unwrap_or_default();
    match is_keyed {
        true => look_for_owner(node, call, state, tried, began, now),
        false => look_for_any(node, call, state, tried, ticket, now),
    }
}

fn look_for_any(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &Arc<ServiceState>,
    tried: &TriedServers,
    ticket: Option<QueueTicket>,
    now: MonoTime,
) -> LookStep {
    let servers = node.usable_servers(&call.service);
    if servers.is_empty() {
        return LookStep::Refuse(RefusalReason::NoServer);
    }
    let rank = rank_of(node, call, now);
    if !state.queue(|queue| queue.is_next(ticket, rank)) {
        return LookStep::Wait(RefusalReason::NoRoom);
    }
    let step = {
        let loads: Vec<_> = servers
            .iter()
            .map(|server| server.load.lock().unwrap())
            .collect();
        let inputs: Vec<ChoiceInput<'_>> = servers
            .iter()
            .zip(&loads)
            .map(|(server, load)| ChoiceInput {
                load,
                near: server.entry.data_centre == node.settings.data_centre,
                tried: tried.marks.contains(server.mark()),
                cold: now < server.cold_until,
            })
            .collect();
        node.choice.choose(&inputs, now, rand::random::<f64>)
    };
    match step {
        ChoiceStep::Send(position) => take(node, call, state, &servers[position], None, now),
        ChoiceStep::Wait => LookStep::Wait(RefusalReason::NoRoom),
        ChoiceStep::Refuse => LookStep::Refuse(RefusalReason::NoServer),
    }
}

fn look_for_owner(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &Arc<ServiceState>,
    tried: &TriedServers,
    began: MonoTime,
    now: MonoTime,
) -> LookStep {
    let Some(key) = call.facts.key else {
        return LookStep::Refuse(RefusalReason::NoKey);
    };
    let Some((range, revision, is_served)) = node.key_range(&call.service, key) else {
        return LookStep::Wait(RefusalReason::NoOwner);
    };
    if !is_served {
        return LookStep::Wait(RefusalReason::NoOwner);
    }
    let is_wrong = tried.wrong_revision.is_some_and(|wrong| revision <= wrong);
    if is_wrong && now.since(began) < WRONG_RECORD_TIME {
        return LookStep::Wait(RefusalReason::NoOwner);
    }
    let Some(server) = node.server(&range.owner) else {
        return LookStep::Wait(RefusalReason::NoOwner);
    };
    if !server.takes_requests(now, node.drain_time()) {
        return LookStep::Wait(RefusalReason::NoOwner);
    }
    let (resting, has_room) = {
        let load = server.load.lock().unwrap();
        (load.is_resting(now), node.owner_choice.has_room(&load, now))
    };
    match (resting, has_room) {
        (true, _) => LookStep::Wait(RefusalReason::NoOwner),
        (false, false) => LookStep::Wait(RefusalReason::NoRoom),
        (false, true) => take(node, call, state, &server, Some(revision), now),
    }
}

/// Counts the request in at a server, unless it cannot end there in time.
fn take(
    node: &Arc<GatewayNode>,
    call: &CallerCall,
    state: &Arc<ServiceState>,
    server: &Arc<ServerRuntime>,
    key_revision: Option<u64>,
    now: MonoTime,
) -> LookStep {
    let mut load = server.load.lock().unwrap();
    let expected = load.expected(now);
    let was_full = load.estimate(now) >= f64::from(load.slots());
    if expected > call.left(now).as_secs_f64() {
        return LookStep::Refuse(RefusalReason::Hopeless);
    }
    if was_full && expected > call.target_left(now).as_secs_f64() {
        return LookStep::Wait(RefusalReason::NoRoom);
    }
    load.started(now);
    drop(load);
    LookStep::Found(FoundServer {
        server: server.clone(),
        started: now,
        was_full,
        key_revision,
        state: state.clone(),
        clock: node.clock,
    })
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
