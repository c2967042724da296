//! Sends requests to the servers of the parts that this instance leads.

use crate::prelude::*;

/// Interval at which a request whose key has no server with a valid grant is routed again.
const ROUTE_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of requests queued for a server, per slot of the server.
const QUEUE_PER_SLOT: usize = 16;
/// Longest expected wait for a slot with which a request is still queued.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);
/// Constant part of the time that a server has to answer on a reused connection.
const REUSED_TIMEOUT_BASE: Duration = Duration::from_millis(100);
/// Multiple of the server's mean run time that is added to [`REUSED_TIMEOUT_BASE`].
const REUSED_TIMEOUT_RUNS: u32 = 8;
/// Time after which a caller may retry when the server could not be reached.
pub(crate) const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time after which a caller may retry when an attempt failed.
const FAILURE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time after which a caller may retry when its key had no server with a valid grant.
const UNOWNED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Server that a request is to be sent to, with the fence and end of its grant and its slot limit.
pub(crate) struct ServerTarget {
    session: Arc<ServerSession>,
    fence: FenceToken,
    not_after: MonoTime,
    limit: SlotLimit,
}

/// Server that a request may be sent to now, with a slot that is held for the request.
pub(crate) struct SlotAdmission {
    target: ServerTarget,
    slot: SlotGuard,
}

/// Result of routing a request.
enum RouteStep {
    Send(ServerTarget),
    Wait(RefusalReason),
    Refuse(RefusalNotice),
}

impl SlotAdmission {
    /// Returns whether the request is sent under the term and rank of `authority`.
    pub(crate) fn matches_authority(&self, authority: FenceToken) -> bool {
        let fence = self.target.fence;
        (fence.term, fence.rank) == (authority.term, authority.rank)
    }
}

/// Runs a request for a key of a part that this instance leads.
pub(crate) async fn run(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
) -> CallerAnswer {
    match class.repeatable {
        true => run_repeatable(node, request, class, deadline).await,
        false => at_most_once_worker::run(node, request, class, deadline).await,
    }
}

/// Runs a repeatable request: it may be sent again, also after an attempt whose outcome is unclear.
async fn run_repeatable(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
) -> CallerAnswer {
    let mut may_have_run = false;
    for retry in 0.. {
        let refusal = match admit(node, request, class, deadline).await {
            Err(notice) => notice,
            Ok(admission) => match exchange(node, request, class, admission, deadline).await {
                Ok(answer @ CallerAnswer::Complete { .. }) => {
                    if retry == 0 {
                        node.servers.record_success(&request.service);
                    }
                    return answer;
                }
                Ok(CallerAnswer::Refusal(notice)) => notice,
                Err(error) => {
                    may_have_run |= error != AttemptError::NotSent;
                    if may_retry(node, request, retry, deadline).await {
                        continue;
                    }
                    RefusalNotice {
                        retry_after: Some(FAILURE_RETRY_AFTER),
                        ..error.refusal()
                    }
                }
            },
        };
        return CallerAnswer::Refusal(match may_have_run {
            true => refusal.after_unclear_attempt(),
            false => refusal,
        });
    }
    unreachable!("the loop ends only by returning an answer")
}

/// Waits before another attempt; returns false at once if deadline or retry budget rule it out.
pub(crate) async fn may_retry(
    node: &InstanceNode,
    request: &CallerRequest,
    retry: u32,
    deadline: MonoTime,
) -> bool {
    let backoff = RetryBudget::backoff(retry, rand::random());
    if node.clock.now().after(backoff) >= deadline || !node.servers.try_take_retry(&request.service)
    {
        return false;
    }
    Timer::after(backoff).await;
    true
}

/// Waits until the key has a server with a valid grant and the server has a free slot.
pub(crate) async fn admit(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
) -> Result<SlotAdmission, RefusalNotice> {
    loop {
        let now = node.clock.now();
        let target = match route(node, request, now) {
            RouteStep::Refuse(notice) => return Err(notice),
            RouteStep::Wait(reason) if now.after(ROUTE_INTERVAL) >= deadline => {
                return Err(RefusalNotice::try_again(reason, UNOWNED_RETRY_AFTER));
            }
            RouteStep::Wait(_) => {
                Timer::after(ROUTE_INTERVAL).await;
                continue;
            }
            RouteStep::Send(target) => target,
        };
        let server = target.session.name().clone();
        let slot_request = SlotRequest {
            server: &server,
            limit: target.limit,
            priority: class.priority,
            caller: &request.caller,
            deadline,
        };
        let slot = node.slots.acquire(slot_request).await?;
        if let Some(target) = refresh(node, request, target, now) {
            return Ok(SlotAdmission { target, slot });
        }
    }
}

/// Routes the request again if the wait for a slot took long or outlasted the grant; returns
/// nothing if the key has another server now, or none.
fn refresh(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    target: ServerTarget,
    routed_at: MonoTime,
) -> Option<ServerTarget> {
    let now = node.clock.now();
    if now.since(routed_at) < ROUTE_INTERVAL && target.not_after > now {
        return Some(target);
    }
    let server = target.session.name();
    match self::route(node, request, now) {
        RouteStep::Send(new_target) if new_target.session.name() == server => Some(new_target),
        _ => None,
    }
}

/// Chooses the server for a request by the tables and grants at `now`.
fn route(node: &Arc<InstanceNode>, request: &CallerRequest, now: MonoTime) -> RouteStep {
    let gate = node.tables.gate.lock().unwrap();
    let Some(head) = gate.head() else {
        return RouteStep::Wait(RefusalReason::NotConfigured);
    };
    let Some(declaration) = head.services.get(&request.service) else {
        return RouteStep::Refuse(RefusalNotice::not_run(RefusalReason::UnknownService));
    };
    let id = PartId::new(
        request.service.clone(),
        request.hash.part_index(declaration.parts),
    );
    let led = node.tables.led_parts.lock().unwrap();
    let Some(part) = led.get(&id) else {
        return RouteStep::Refuse(RefusalNotice::not_run(RefusalReason::NoLeader));
    };
    let decision = match declaration.kind {
        ServiceKind::Exclusive => part.route(request.hash, now),
        ServiceKind::Shared => {
            let servers = head.active_servers(&request.service);
            let running_count = |server: &ServerName| node.slots.running(server);
            part.route_shared(
                node.servers.eligible(&servers, running_count, now),
                |server| node.slots.load_score(server, now),
                now,
            )
        }
    };
    let (server, fence, not_after) = match decision {
        RouteDecision::Send {
            server,
            fence,
            not_after,
        } => (server, fence, not_after),
        RouteDecision::Wait => return RouteStep::Wait(RefusalReason::Moving),
        RouteDecision::Unowned => return RouteStep::Wait(RefusalReason::NoOwner),
    };
    let Some(server_declaration) = declaration
        .servers
        .iter()
        .find(|declared| declared.name == server)
    else {
        return RouteStep::Wait(RefusalReason::NoOwner);
    };
    RouteStep::Send(ServerTarget {
        session: node.servers.session(node, server_declaration),
        fence,
        not_after,
        limit: SlotLimit {
            slots: usable_slots(head, server_declaration),
            max_queued: server_declaration.slots as usize * QUEUE_PER_SLOT,
            max_wait: MAX_QUEUE_WAIT,
        },
    })
}

/// Returns the time without an answer on a reused connection after which a repeatable request is
/// sent again over a new connection.
fn reused_timeout(mean_run_time: Duration, remaining: Duration) -> Duration {
    match mean_run_time.is_zero() {
        true => remaining / 2,
        false => (REUSED_TIMEOUT_BASE + mean_run_time * REUSED_TIMEOUT_RUNS).min(remaining / 2),
    }
}

/// Returns the number of slots of a server under the preset in force, at least 1.
fn usable_slots(head: &ConfigurationHead, declaration: &ServerDeclaration) -> u32 {
    let preset = head.presets.get(&head.preset);
    let percent = preset.and_then(|preset| preset.slot_percent).unwrap_or(100);
    (declaration.slots * percent.min(100) / 100).max(1)
}

/// Sends the request to its server, reads the complete answer and releases the slot.
pub(crate) async fn exchange(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    admission: SlotAdmission,
    deadline: MonoTime,
) -> Result<CallerAnswer, AttemptError> {
    let SlotAdmission { target, mut slot } = admission;
    let part = node.tables.part_of(&request.service, request.hash);
    let slice_guard = part
        .as_ref()
        .map(|part| node.tables.count_request(part, request.hash));
    let started_at = node.clock.now();
    let remaining = deadline.since(started_at);
    let name = target.session.name();
    let options = ServerCallOptions {
        reused_timeout: match class.repeatable {
            true => reused_timeout(node.slots.mean_run_time(name), remaining),
            false => remaining,
        },
        fence: target.fence,
        not_after: target.not_after,
        remaining,
        max_answer_bytes: class.max_answer_bytes as usize,
    };
    slot.mark_sent(&node.pool);
    let answer = target.session.run(request, options).await;
    let has_answered = match &answer {
        Ok(_) => Some(true),
        Err(AttemptError::TimedOut) => None,
        Err(_) => Some(false),
    };
    if let Some(has_answered) = has_answered {
        node.servers
            .record_exchange(name, has_answered, node.clock.now());
    }
    match &answer {
        Ok(CallerAnswer::Complete { .. }) => slot.mark_answered(),
        Ok(CallerAnswer::Refusal(notice)) if notice.reason == RefusalReason::ServerRefused => {
            slot.mark_refused();
        }
        Err(AttemptError::NotSent) => slot.mark_unsent(),
        Ok(CallerAnswer::Refusal(_)) | Err(_) => {}
    }
    drop(slot);
    drop(slice_guard);
    if let Some(part) = part {
        node.record_load(&part, request.hash, started_at);
    }
    answer
}
