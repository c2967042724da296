//! Forwards requests to the instance that leads the key's part.
//!
//! If the leader fails before it answers, the request is forwarded to its successor under the same
//! id. The successor runs a non-repeatable request only if the failed leader had not replicated a
//! dedup entry for it.

use crate::prelude::*;

/// Pause before the leader of a part is looked up again.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of checks for the successor of a leader that does not answer.
const SUCCESSOR_INTERVAL: Duration = Duration::from_millis(25);
/// Time beyond the deadline to wait for the leader's own refusal.
const REFUSAL_GRACE: Duration = Duration::from_millis(30);
/// Retry delay offered to a caller whose part had no leader.
const NO_LEADER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What to do after an attempt at a leader.
enum ForwardStep {
    Done(CallerAnswer),
    /// The request certainly did not run in this attempt.
    Retry,
    /// The request may have run in this attempt.
    Unclear,
}

/// Forwards a request to the part's leader, and again after each failure, until it is answered or
/// its deadline passes.
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
                ForwardStep::Unclear => request.is_retry = true,
            }
            node.tables
                .record_wrong_leader(&request.service, request.hash, &leader.id);
        }
        if node.clock.now().after(RETRY_INTERVAL) >= deadline {
            return CallerAnswer::Refusal(deadline_refusal(&request, class));
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

/// Refusal of a request that no leader answered before its deadline.
fn deadline_refusal(request: &CallerRequest, class: &RequestClass) -> RefusalNotice {
    let may_be_repeat = request.id_from_caller && !class.repeatable;
    match request.is_retry {
        false if may_be_repeat => RefusalNotice {
            retry_after: Some(NO_LEADER_RETRY_AFTER),
            ..RefusalNotice::may_have_run(RefusalReason::NoLeader)
        },
        false => RefusalNotice::try_again(RefusalReason::NoLeader, NO_LEADER_RETRY_AFTER),
        true => RefusalNotice {
            retry_after: (class.repeatable || request.id_from_caller)
                .then_some(NO_LEADER_RETRY_AFTER),
            ..RefusalNotice::may_have_run(RefusalReason::LeaderLost)
        },
    }
}

/// Runs the request at `leader`, which may be this instance.
async fn attempt(
    node: &Arc<InstanceNode>,
    request: &CallerRequest,
    class: &RequestClass,
    deadline: MonoTime,
    leader: &LeaderAddress,
) -> ForwardStep {
    if leader.id == node.id {
        return next_step(
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
        wait_for_successor(node, request, leader).await;
        Err(PeerError::Unclear(
            "a successor took over from the leader".into(),
        ))
    })
    .await;
    match reply {
        Ok(PeerBody::ForwardReply(reply)) => match CallerAnswer::try_from(reply) {
            Ok(answer) => next_step(request, answer),
            Err(_) => ForwardStep::Unclear,
        },
        Ok(_) | Err(PeerError::Unclear(_)) => ForwardStep::Unclear,
        Err(PeerError::NotSent(_)) => ForwardStep::Retry,
    }
}

/// Waits until the part's record names a successor of a leader that is no longer live.
async fn wait_for_successor(node: &InstanceNode, request: &CallerRequest, leader: &LeaderAddress) {
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

/// Decides on a leader's answer. A refusal because it no longer leads is retried, and counts as
/// unclear unless it says that the request did not run. A retry that finds an earlier attempt still
/// running waits for it. All other answers go to the caller.
fn next_step(request: &CallerRequest, answer: CallerAnswer) -> ForwardStep {
    match answer {
        CallerAnswer::Refusal(notice) if notice.reason == RefusalReason::NoLeader => {
            match notice.outcome {
                RunOutcome::NotRun => ForwardStep::Retry,
                RunOutcome::Ran | RunOutcome::Unknown => ForwardStep::Unclear,
            }
        }
        CallerAnswer::Refusal(notice)
            if request.is_retry && notice.reason == RefusalReason::InProgress =>
        {
            ForwardStep::Unclear
        }
        CallerAnswer::Refusal(notice) if request.is_retry => {
            ForwardStep::Done(CallerAnswer::Refusal(notice.after_unclear_attempt()))
        }
        answer => ForwardStep::Done(answer),
    }
}

#[cfg(test)]
mod forward_worker_tests;
