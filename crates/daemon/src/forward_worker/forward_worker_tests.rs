//! Tests of the forwarding instance's decisions on a leader's answers.

use super::*;

fn request() -> CallerRequest {
    CallerRequest {
        id: Uuid::now_v7(),
        id_from_caller: true,
        is_retry: false,
        caller: "caller-1".into(),
        service: ServiceName::new("viewing"),
        class: "lookup".into(),
        hash: KeyHash(7),
        method: "GET".into(),
        target: "/viewing/k7".into(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

#[test]
fn no_leader_refusal_of_request_that_did_not_run_is_retried() {
    let notice = RefusalNotice::not_run(RefusalReason::NoLeader);
    let step = next_step(&request(), CallerAnswer::Refusal(notice));
    assert!(matches!(step, ForwardStep::Retry));
}

#[test]
fn no_leader_refusal_after_unclear_attempt_is_unclear() {
    // The server did not answer the first attempt, and the lease expired before the second.
    let notice = RefusalNotice::not_run(RefusalReason::NoLeader).after_unclear_attempt();
    let step = next_step(&request(), CallerAnswer::Refusal(notice));
    assert!(matches!(step, ForwardStep::Unclear));
}
