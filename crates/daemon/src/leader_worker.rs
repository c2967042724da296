//! Running of requests at the servers of a part that this instance leads.

use crate::prelude::*;

/// Pause before a key without a standing grant is looked up again.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Requests that may wait for one server, per slot.
const QUEUE_PER_SLOT: usize = 16;

/// Where a request is sent.
struct ServerTarget {
    session: Arc<ServerSession>,
    fence: FenceToken,
    not_after: MonoTime,
    limit: SlotLimit,
}

/// What to do with a request.
enum TargetStep {
    Send(ServerTarget),
    Wait(RefusalReason),
    Refuse(RefusalNotice),
}

/// Runs one request.
pub(crate) async fn run(
    node: &Arc<Node>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
) -> CallerAnswer {
    loop {
        let now = node.clock.now();
        match target(node, request, now) {
            TargetStep::Refuse(notice) => return CallerAnswer::Refusal(notice),
            TargetStep::Wait(reason) if now.after(RETRY_INTERVAL) >= deadline => {
                let notice = RefusalNotice::try_again(reason, Duration::from_secs(1));
                return CallerAnswer::Refusal(notice);
            }
            TargetStep::Wait(_) => {
                Timer::after(RETRY_INTERVAL).await;
            }
            TargetStep::Send(target) => return send(node, request, class, &target, deadline).await,
        }
    }
}

fn target(node: &Arc<Node>, request: &CallerRequest, now: MonoTime) -> TargetStep {
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
    let led = node.tables.led.lock().unwrap();
    let Some(part) = led.get(&id) else {
        return TargetStep::Refuse(RefusalNotice::not_run(RefusalReason::NoLeader));
    };
    let route = match declaration.kind {
        ServiceKind::Exclusive => part.route(request.hash, now),
        ServiceKind::Shared => part.route_any(
            head.active_servers(&request.service)
                .into_iter()
                .map(|server| &server.name),
            |server| node.slots.running(server),
            now,
        ),
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
            slots: declared.slots,
            queue: declared.slots as usize * QUEUE_PER_SLOT,
        },
    })
}

async fn send(
    node: &Arc<Node>,
    request: &CallerRequest,
    class: &RequestClass,
    target: &ServerTarget,
    deadline: MonoTime,
) -> CallerAnswer {
    let server = target.session.name();
    let slot = match node
        .slots
        .acquire(server, target.limit, deadline.since(node.clock.now()))
        .await
    {
        Ok(slot) => slot,
        Err(reason) => {
            let notice = RefusalNotice::try_again(reason, Duration::from_secs(1));
            return CallerAnswer::Refusal(notice);
        }
    };
    let part = node.tables.part_of(&request.service, request.hash);
    let running = part
        .as_ref()
        .map(|part| node.tables.begin(part, request.hash));
    let remaining = deadline.since(node.clock.now());
    let answer = target
        .session
        .run(request, target.fence, target.not_after, remaining)
        .await;
    drop(slot);
    drop(running);
    match answer {
        Ok(answer) => answer,
        Err(ExchangeError::NotSent(_)) => {
            let reason = RefusalReason::ServerUnreachable;
            CallerAnswer::Refusal(RefusalNotice::try_again(reason, Duration::from_secs(1)))
        }
        Err(ExchangeError::Unclear(_)) if class.repeatable => CallerAnswer::Refusal(
            RefusalNotice::try_again(RefusalReason::ServerLost, Duration::from_secs(1)),
        ),
        Err(ExchangeError::Unclear(_)) => {
            CallerAnswer::Refusal(RefusalNotice::unknown(RefusalReason::ServerLost))
        }
    }
}
