//! Passing of requests to the instance that leads the key's part.

use crate::prelude::*;

/// Pause before the leader of a part is looked up again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What to do after an attempt.
enum ForwardStep {
    Done(CallerAnswer),
    Retry,
}

/// Runs a request at the part's leader until it is answered or its deadline passes.
pub(crate) async fn forward(
    node: &Arc<Node>,
    request: CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
) -> CallerAnswer {
    loop {
        let leader = node.tables.leader_of(&request.service, request.hash);
        if let Some(leader) = leader {
            let step = attempt(node, &request, class, deadline, &leader).await;
            if let ForwardStep::Done(answer) = step {
                return answer;
            }
            node.tables
                .leader_missed(&request.service, request.hash, &leader.id);
        }
        if node.clock.now().after(RETRY_INTERVAL) >= deadline {
            let notice = RefusalNotice::try_again(RefusalReason::NoLeader, Duration::from_secs(1));
            return CallerAnswer::Refusal(notice);
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

async fn attempt(
    node: &Arc<Node>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
    leader: &LeaderAddress,
) -> ForwardStep {
    if leader.id == node.id {
        return step_of(leader_worker::run(node, request, class, deadline).await);
    }
    let remaining = deadline.since(node.clock.now());
    let body = PeerBody::Forward(ForwardWire::new(request, remaining, leader.term));
    match node.peers.call(leader.address, body, remaining).await {
        Ok(PeerBody::ForwardReply(reply)) => match CallerAnswer::try_from(reply) {
            Ok(answer) => step_of(answer),
            Err(_) => lost(class),
        },
        Ok(_) => lost(class),
        Err(PeerError::NotSent(_)) => ForwardStep::Retry,
        Err(PeerError::Unclear(_)) => lost(class),
    }
}

/// A leader that no longer leads is asked no further; all other answers go to the caller.
fn step_of(answer: CallerAnswer) -> ForwardStep {
    match answer {
        CallerAnswer::Refusal(notice) if notice.reason == RefusalReason::NoLeader => {
            ForwardStep::Retry
        }
        answer => ForwardStep::Done(answer),
    }
}

fn lost(class: &RequestClass) -> ForwardStep {
    if class.repeatable {
        return ForwardStep::Retry;
    }
    let notice = RefusalNotice::unknown(RefusalReason::LeaderLost);
    ForwardStep::Done(CallerAnswer::Refusal(notice))
}
