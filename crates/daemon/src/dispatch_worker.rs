//! Running of requests at the servers of a part that this instance leads.

use crate::prelude::*;

/// Pause before a key without a standing grant is looked up again.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Requests that may wait for one server, per slot.
const QUEUE_PER_SLOT: usize = 16;
/// Longest time that a request may be expected to wait for a slot.
const QUEUE_WAIT: Duration = Duration::from_secs(1);
/// Shortest silence that counts against a connection.
const SILENCE_BASE: Duration = Duration::from_millis(100);
/// Mean runs of the server that are added to it.
const SILENCE_RUNS: u32 = 8;
/// When a caller may come back after no server could be reached.
pub(crate) const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(200);
/// When a caller may come back after a failure that a repeat may mend.
const FAULT_RETRY: Duration = Duration::from_millis(100);
/// When a caller may come back after its key had no server that could take it.
const UNOWNED_RETRY: Duration = Duration::from_millis(500);

/// Where a request is sent.
pub(crate) struct ServerTarget {
    session: Arc<ServerSession>,
    fence: FenceToken,
    not_after: MonoTime,
    limit: SlotLimit,
}

/// A request's server, with a slot of it.
pub(crate) struct SlotAdmission {
    target: ServerTarget,
    slot: SlotGuard,
}

/// What to do with a request.
enum TargetStep {
    Send(ServerTarget),
    Wait(RefusalReason),
    Refuse(RefusalNotice),
}

impl SlotAdmission {
    /// Whether the request leaves under the term and rank of `authority`.
    pub(crate) fn matches_authority(&self, authority: FenceToken) -> bool {
        let fence = self.target.fence;
        (fence.term, fence.rank) == (authority.term, authority.rank)
    }
}

/// Runs one request.
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

async fn run_repeatable(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
) -> CallerAnswer {
    let mut unclear = false;
    for retry in 0.. {
        let refused = match admit(node, request, class, deadline).await {
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
                    unclear |= error != AttemptError::NotSent;
                    if may_retry(node, request, retry, deadline).await {
                        continue;
                    }
                    RefusalNotice {
                        retry_after: Some(FAULT_RETRY),
                        ..error.refusal()
                    }
                }
            },
        };
        return CallerAnswer::Refusal(match unclear {
            true => refused.after_unclear_attempt(),
            false => refused,
        });
    }
    unreachable!("the loop ends by an answer")
}

/// Whether another attempt may follow, after a pause with jitter.
pub(crate) async fn may_retry(
    node: &InstanceNode,
    request: &CallerRequest,
    retry: u32,
    deadline: MonoTime,
) -> bool {
    let pause = RetryBudget::backoff(retry, rand::random());
    if node.clock.now().after(pause) >= deadline || !node.servers.try_take_retry(&request.service) {
        return false;
    }
    Timer::after(pause).await;
    true
}

/// Waits for the key's server and a slot of it.
pub(crate) async fn admit(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
) -> Result<SlotAdmission, RefusalNotice> {
    loop {
        let now = node.clock.now();
        let target = match target(node, request, now) {
            TargetStep::Refuse(notice) => return Err(notice),
            TargetStep::Wait(reason) if now.after(RETRY_INTERVAL) >= deadline => {
                return Err(RefusalNotice::try_again(reason, UNOWNED_RETRY));
            }
            TargetStep::Wait(_) => {
                Timer::after(RETRY_INTERVAL).await;
                continue;
            }
            TargetStep::Send(target) => target,
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
        if let Some(target) = refreshed(node, request, target, now) {
            return Ok(SlotAdmission { target, slot });
        }
    }
}

/// Target as of now when the wait for the slot took time; none when the owner has changed.
fn refreshed(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    target: ServerTarget,
    decided_at: MonoTime,
) -> Option<ServerTarget> {
    let now = node.clock.now();
    if now.since(decided_at) < RETRY_INTERVAL && target.not_after > now {
        return Some(target);
    }
    let server = target.session.name();
    match self::target(node, request, now) {
        TargetStep::Send(fresh) if fresh.session.name() == server => Some(fresh),
        _ => None,
    }
}

fn target(node: &Arc<InstanceNode>, request: &CallerRequest, now: MonoTime) -> TargetStep {
    let gate = node.tables.gate.lock().unwrap();
    let Some(head) = gate.head() else {
        return TargetStep::Wait(RefusalReason::NotConfigured);
    };
    let Some(declaration) = head.services.get(&request.service) else {
        return TargetStep::Refuse(RefusalNotice::not_run(RefusalReason::UnknownService));
    };
    let id = PartId::new(
        request.service.clone(),
        request.hash.part_index(declaration.parts),
    );
    let led = node.tables.led_parts.lock().unwrap();
    let Some(part) = led.get(&id) else {
        return TargetStep::Refuse(RefusalNotice::not_run(RefusalReason::NoLeader));
    };
    let route = match declaration.kind {
        ServiceKind::Exclusive => part.route(request.hash, now),
        ServiceKind::Shared => {
            let servers = head.active_servers(&request.service);
            let running = |server: &ServerName| node.slots.running(server);
            part.route_shared(
                node.servers.eligible(&servers, running, now),
                |server| node.slots.load_score(server, now),
                now,
            )
        }
    };
    let (server, fence, not_after) = match route {
        RouteDecision::Send {
            server,
            fence,
            not_after,
        } => (server, fence, not_after),
        RouteDecision::Wait => return TargetStep::Wait(RefusalReason::Moving),
        RouteDecision::Unowned => return TargetStep::Wait(RefusalReason::NoOwner),
    };
    let Some(declared) = declaration
        .servers
        .iter()
        .find(|declared| declared.name == server)
    else {
        return TargetStep::Wait(RefusalReason::NoOwner);
    };
    TargetStep::Send(ServerTarget {
        session: node.servers.session(node, declared),
        fence,
        not_after,
        limit: SlotLimit {
            slots: usable_slots(head, declared),
            max_queued: declared.slots as usize * QUEUE_PER_SLOT,
            max_wait: QUEUE_WAIT,
        },
    })
}

/// Longest silence on a connection that was used before, after which a repeatable request goes on
/// over a new one.
fn silence_bound(mean_run: Duration, remaining: Duration) -> Duration {
    match mean_run.is_zero() {
        true => remaining / 2,
        false => (SILENCE_BASE + mean_run * SILENCE_RUNS).min(remaining / 2),
    }
}

/// Slots of a server under the preset in force, at least 1.
fn usable_slots(head: &ConfigurationHead, declared: &ServerDeclaration) -> u32 {
    let preset = head.presets.get(&head.preset);
    let percent = preset.and_then(|preset| preset.slot_percent).unwrap_or(100);
    (declared.slots * percent.min(100) / 100).max(1)
}

/// Sends the request to its server and reads the whole answer; the slot is given back at the end.
pub(crate) async fn exchange(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    admission: SlotAdmission,
    deadline: MonoTime,
) -> Result<CallerAnswer, AttemptError> {
    let SlotAdmission { target, mut slot } = admission;
    let part = node.tables.part_of(&request.service, request.hash);
    let running = part
        .as_ref()
        .map(|part| node.tables.begin(part, request.hash));
    let started = node.clock.now();
    let remaining = deadline.since(started);
    let name = target.session.name();
    let options = ServerCallOptions {
        reused_timeout: match class.repeatable {
            true => silence_bound(node.slots.mean_run_time(name), remaining),
            false => remaining,
        },
        fence: target.fence,
        not_after: target.not_after,
        remaining,
        max_answer_bytes: class.max_answer_bytes as usize,
    };
    slot.mark_sent(&node.pool);
    let answer = target.session.run(request, options).await;
    let answered = match &answer {
        Ok(_) => Some(true),
        Err(AttemptError::TimedOut) => None,
        Err(_) => Some(false),
    };
    if let Some(answered) = answered {
        node.servers
            .record_exchange(name, answered, node.clock.now());
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
    drop(running);
    if let Some(part) = part {
        node.meter(&part, request.hash, started);
    }
    answer
}
