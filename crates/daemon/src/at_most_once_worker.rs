//! Runs non-repeatable requests at most once.
//!
//! The id is looked up in the dedup table, then its entry is replicated to another member of the
//! part while the request waits for a slot. The request is sent to the server only after both.

use crate::prelude::*;

/// Pause before the dedup table of a part is queried again while its entries are being collected.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// Retry delay offered to a caller when the part is not led here or the entry could not be
/// replicated.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Result of the lookup of a request's id.
enum StartStep {
    Run(DedupGuard, DedupGroup),
    Done(CallerAnswer),
}

/// Runs a request, at most once among all requests with the same id.
pub(crate) async fn run(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
) -> CallerAnswer {
    let (mut guard, group) = match begin(node, request, deadline).await {
        StartStep::Run(guard, group) => (guard, group),
        StartStep::Done(answer) => return answer,
    };
    let mut retry = 0;
    loop {
        let replicated = async {
            match retry {
                0 => dedup_worker::replicate(node, &group, request.id).await,
                _ => true,
            }
        };
        let admitted = dispatch_worker::admit(node, request, class, deadline);
        let admission = match future::zip(replicated, admitted).await {
            (_, Err(notice)) => return CallerAnswer::Refusal(notice),
            (true, Ok(admission)) if admission.matches_authority(group.authority) => admission,
            (_, Ok(_)) => {
                return CallerAnswer::Refusal(RefusalNotice::try_again(
                    RefusalReason::NoLeader,
                    REFUSAL_RETRY_AFTER,
                ));
            }
        };
        guard.mark_sent();
        let outcome = send(node, request, class, admission, guard, deadline).await;
        match outcome {
            SendOutcome::Done(answer) => return answer,
            SendOutcome::NotSent(unsent) => guard = unsent,
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

/// Looks up the request's id in the dedup table, waiting while its entries are being collected.
async fn begin(node: &Arc<InstanceNode>, request: &CallerRequest, deadline: MonoTime) -> StartStep {
    let query = DedupQuery {
        id: request.id,
        digest: request.digest(),
        is_first_attempt: !request.id_from_caller && !request.is_retry,
    };
    let refused = |reason| {
        let notice = RefusalNotice::try_again(reason, REFUSAL_RETRY_AFTER);
        StartStep::Done(CallerAnswer::Refusal(notice))
    };
    loop {
        let Some(group) = group_of(node, request) else {
            return refused(RefusalReason::NoLeader);
        };
        let lookup = node.dedup.begin(
            &group.part,
            group.authority,
            query,
            dedup_worker::unix_time_ms(),
        );
        match lookup {
            DedupLookup::Decided(DedupStep::Run { attempt }) => {
                let guard = DedupGuard::new(node, group.clone(), request.id, attempt);
                return StartStep::Run(guard, group);
            }
            DedupLookup::Decided(DedupStep::Answer(answer)) => return StartStep::Done(answer),
            DedupLookup::Decided(DedupStep::Refuse(notice)) => {
                return StartStep::Done(CallerAnswer::Refusal(notice));
            }
            DedupLookup::Deposed => return refused(RefusalReason::NoLeader),
            DedupLookup::NotCollected => {}
        }
        if node.clock.now().after(RETRY_INTERVAL) >= deadline {
            return refused(RefusalReason::NoLeader);
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

/// Group of the part that holds the request's key, if this instance leads it.
fn group_of(node: &InstanceNode, request: &CallerRequest) -> Option<DedupGroup> {
    let parts = {
        let gate = node.tables.gate.lock().unwrap();
        gate.head()?.services.get(&request.service)?.parts
    };
    let id = PartId::new(request.service.clone(), request.hash.part_index(parts));
    let led = node.tables.led_parts.lock().unwrap();
    led.get(&id).map(|part| DedupGroup::of(node, part))
}

/// How sending a request ended.
enum SendOutcome {
    Done(CallerAnswer),
    NotSent(DedupGuard),
}

/// Sends the request. A request whose id came from the caller continues when the caller
/// disconnects, so that a repeat finds the recorded answer.
async fn send(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    admission: SlotAdmission,
    guard: DedupGuard,
    deadline: MonoTime,
) -> SendOutcome {
    if !request.id_from_caller {
        return exchange(node, request, class, admission, guard, deadline).await;
    }
    let (sender, receiver) = async_channel::bounded(1);
    let (node, request, class) = (node.clone(), request.clone(), class.clone());
    let pool = node.pool.clone();
    pool.spawn(async move {
        let sent = exchange(&node, &request, &class, admission, guard, deadline).await;
        let _ = sender.try_send(sent);
    });
    receiver.recv().await.unwrap_or_else(|_| {
        let notice = RefusalNotice::may_have_run(RefusalReason::ServerLost);
        SendOutcome::Done(CallerAnswer::Refusal(notice))
    })
}

/// Sends the request to its server and reports how the attempt ended.
async fn exchange(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    admission: SlotAdmission,
    mut guard: DedupGuard,
    deadline: MonoTime,
) -> SendOutcome {
    match dispatch_worker::exchange(node, request, class, admission, deadline).await {
        Ok(answer) => {
            guard.finish(&answer);
            SendOutcome::Done(answer)
        }
        Err(AttemptError::NotSent) => {
            guard.mark_unsent();
            SendOutcome::NotSent(guard)
        }
        Err(error) => {
            let answer = CallerAnswer::Refusal(error.refusal());
            guard.finish(&answer);
            SendOutcome::Done(answer)
        }
    }
}
