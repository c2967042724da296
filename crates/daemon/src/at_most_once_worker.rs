//! Running of requests that may not be repeated.
//!
//! The id is looked up, then noted at a member of the part's trio while the request waits for its
//! slot; only with both does it leave for the server.

use crate::prelude::*;

/// Pause before the notes of a part are looked at again.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// When a caller may come back after its request could not be noted.
const UNNOTED_RETRY: Duration = Duration::from_millis(100);

/// What to do with a request.
enum OnceStep {
    Run(DedupGuard, DedupGroup),
    Done(CallerAnswer),
}

/// Runs one request, at most once among all that carry its id.
pub(crate) async fn run(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
) -> CallerAnswer {
    let (mut guard, lead) = match begin(node, request, deadline).await {
        OnceStep::Run(guard, lead) => (guard, lead),
        OnceStep::Done(answer) => return answer,
    };
    let mut retry = 0;
    loop {
        let noted = async {
            match retry {
                0 => dedup_worker::note(node, &lead, request.id).await,
                _ => true,
            }
        };
        let admitted = dispatch_worker::admit(node, request, class, deadline);
        let admission = match future::zip(noted, admitted).await {
            (_, Err(notice)) => return CallerAnswer::Refusal(notice),
            (true, Ok(admission)) if admission.matches_authority(lead.authority) => admission,
            (_, Ok(_)) => {
                return CallerAnswer::Refusal(RefusalNotice::try_again(
                    RefusalReason::NoLeader,
                    UNNOTED_RETRY,
                ));
            }
        };
        guard.mark_sent();
        let end = send(node, request, class, admission, guard, deadline).await;
        match end {
            SendEnd::Done(answer) => return answer,
            SendEnd::NotSent(unsent) => guard = unsent,
        }
        if !dispatch_worker::may_retry(node, request, retry, deadline).await {
            return CallerAnswer::Refusal(RefusalNotice::try_again(
                RefusalReason::ServerUnreachable,
                dispatch_worker::UNREACHABLE_RETRY_AFTER,
            ));
        }
        retry += 1;
    }
}

async fn begin(node: &Arc<InstanceNode>, request: &CallerRequest, deadline: MonoTime) -> OnceStep {
    let query = DedupQuery {
        id: request.id,
        digest: request.digest(),
        is_first_attempt: !request.id_from_caller && !request.repeated,
    };
    let refused = |reason| {
        let notice = RefusalNotice::try_again(reason, UNNOTED_RETRY);
        OnceStep::Done(CallerAnswer::Refusal(notice))
    };
    loop {
        let Some(lead) = lead_of(node, request) else {
            return refused(RefusalReason::NoLeader);
        };
        let step = node
            .dedup
            .begin(&lead.part, lead.authority, query, dedup_worker::wall_ms());
        match step {
            DedupLookup::Decided(DedupStep::Run { attempt }) => {
                let guard = DedupGuard::new(node, lead.clone(), request.id, attempt);
                return OnceStep::Run(guard, lead);
            }
            DedupLookup::Decided(DedupStep::Answer(answer)) => return OnceStep::Done(answer),
            DedupLookup::Decided(DedupStep::Refuse(notice)) => {
                return OnceStep::Done(CallerAnswer::Refusal(notice));
            }
            DedupLookup::Deposed => return refused(RefusalReason::NoLeader),
            DedupLookup::Collect => {}
        }
        if node.clock.now().after(RETRY_INTERVAL) >= deadline {
            return refused(RefusalReason::NoLeader);
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

fn lead_of(node: &InstanceNode, request: &CallerRequest) -> Option<DedupGroup> {
    let parts = {
        let gate = node.tables.gate.lock().unwrap();
        gate.head()?.services.get(&request.service)?.parts
    };
    let id = PartId::new(request.service.clone(), request.hash.part_index(parts));
    let led = node.tables.led_parts.lock().unwrap();
    led.get(&id).map(|part| DedupGroup::of(node, part))
}

/// How a send ended.
enum SendEnd {
    Done(CallerAnswer),
    NotSent(DedupGuard),
}

/// Sends the request; one with its caller's own id goes on when the caller leaves, so that a repeat
/// finds the recorded answer.
async fn send(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    admission: SlotAdmission,
    guard: DedupGuard,
    deadline: MonoTime,
) -> SendEnd {
    if !request.id_from_caller {
        return exchange(node, request, class, admission, guard, deadline).await;
    }
    let (end, ended) = async_channel::bounded(1);
    let (node, request, class) = (node.clone(), request.clone(), class.clone());
    let pool = node.pool.clone();
    pool.spawn(async move {
        let sent = exchange(&node, &request, &class, admission, guard, deadline).await;
        let _ = end.try_send(sent);
    });
    ended.recv().await.unwrap_or_else(|_| {
        let notice = RefusalNotice::may_have_run(RefusalReason::ServerLost);
        SendEnd::Done(CallerAnswer::Refusal(notice))
    })
}

async fn exchange(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    admission: SlotAdmission,
    mut guard: DedupGuard,
    deadline: MonoTime,
) -> SendEnd {
    match dispatch_worker::exchange(node, request, class, admission, deadline).await {
        Ok(answer) => {
            guard.end(&answer);
            SendEnd::Done(answer)
        }
        Err(AttemptError::NotSent) => {
            guard.mark_unsent();
            SendEnd::NotSent(guard)
        }
        Err(error) => {
            let answer = CallerAnswer::Refusal(error.refusal());
            guard.end(&answer);
            SendEnd::Done(answer)
        }
    }
}
