//! Passing of requests to the instance that leads the key's part.
//!
//! When the leader is lost in the middle, the request goes on to its successor under the same id. A
//! request that may not be repeated runs there only when the lost leader had not noted it.

use crate::prelude::*;

/// Pause before the leader of a part is looked up again.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between two looks for a successor of a leader that does not answer.
const SUCCESSOR_INTERVAL: Duration = Duration::from_millis(25);
/// Time beyond the deadline for which a leader's own refusal is waited for.
const REFUSAL_GRACE: Duration = Duration::from_millis(30);
/// When a caller may come back after its part had no leader.
const NO_LEADER_RETRY: Duration = Duration::from_millis(500);

/// What to do after an attempt.
enum ForwardStep {
    Done(CallerAnswer),
    /// The attempt surely did not run.
    Retry,
    /// The attempt may have run.
    Lost,
}

/// Runs a request at the part's leader until it is answered or its deadline passes.
pub(crate) async fn forward(
    node: &Arc<InstanceNode>,
    mut request: CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
) -> CallerAnswer {
    loop {
        if let Some(leader) = node.tables.leader_of(&request.service, request.hash) {
            match attempt(node, &request, class, deadline, &leader).await {
                ForwardStep::Done(answer) => return answer,
                ForwardStep::Retry => {}
                ForwardStep::Lost => request.repeated = true,
            }
            node.tables
                .record_wrong_leader(&request.service, request.hash, &leader.id);
        }
        if node.clock.now().after(RETRY_INTERVAL) >= deadline {
            return CallerAnswer::Refusal(given_up(&request, class));
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

fn given_up(request: &CallerRequest, class: &RequestClass) -> RefusalNotice {
    let may_be_repeat = request.id_from_caller && !class.repeatable;
    match request.repeated {
        false if may_be_repeat => RefusalNotice {
            retry_after: Some(NO_LEADER_RETRY),
            ..RefusalNotice::may_have_run(RefusalReason::NoLeader)
        },
        false => RefusalNotice::try_again(RefusalReason::NoLeader, NO_LEADER_RETRY),
        true => RefusalNotice {
            retry_after: (class.repeatable || request.id_from_caller).then_some(NO_LEADER_RETRY),
            ..RefusalNotice::may_have_run(RefusalReason::LeaderLost)
        },
    }
}

async fn attempt(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
    leader: &LeaderAddress,
) -> ForwardStep {
    if leader.id == node.id {
        return step_of(
            request,
            dispatch_worker::run(node, request, class, deadline).await,
        );
    }
    let remaining = deadline.since(node.clock.now());
    let body = PeerBody::Forward(ForwardWire::new(request, remaining, leader.term));
    let call = node
        .peers
        .call(leader.address, body, remaining + REFUSAL_GRACE);
    let reply = future::or(call, async {
        succeeded(node, request, leader).await;
        Err(PeerError::Unclear("the leader was succeeded".into()))
    })
    .await;
    match reply {
        Ok(PeerBody::ForwardReply(reply)) => match CallerAnswer::try_from(reply) {
            Ok(answer) => step_of(request, answer),
            Err(_) => ForwardStep::Lost,
        },
        Ok(_) | Err(PeerError::Unclear(_)) => ForwardStep::Lost,
        Err(PeerError::NotSent(_)) => ForwardStep::Retry,
    }
}

/// Ends once a leader that is silent has a successor on record.
async fn succeeded(node: &InstanceNode, request: &CallerRequest, leader: &LeaderAddress) {
    loop {
        Timer::after(SUCCESSOR_INTERVAL).await;
        let now = node.clock.now();
        let current = node.tables.leader_of(&request.service, request.hash);
        if current.is_some_and(|current| current.term > leader.term)
            && !node.tables.peers.lock().unwrap().is_live(&leader.id, now)
        {
            return;
        }
    }
}

/// A leader that no longer leads is asked no further, and what it says of the request before is
/// kept; a request that another attempt of ours still runs is waited for; all other answers go to
/// the caller.
fn step_of(request: &CallerRequest, answer: CallerAnswer) -> ForwardStep {
    match answer {
        CallerAnswer::Refusal(notice) if notice.reason == RefusalReason::NoLeader => {
            match notice.outcome {
                RunOutcome::NotRun => ForwardStep::Retry,
                RunOutcome::Ran | RunOutcome::Unknown => ForwardStep::Lost,
            }
        }
        CallerAnswer::Refusal(notice)
            if request.repeated && notice.reason == RefusalReason::InProgress =>
        {
            ForwardStep::Lost
        }
        CallerAnswer::Refusal(notice) if request.repeated => {
            ForwardStep::Done(CallerAnswer::Refusal(notice.after_unclear_attempt()))
        }
        answer => ForwardStep::Done(answer),
    }
}

#[cfg(test)]
mod forward_worker_tests;
