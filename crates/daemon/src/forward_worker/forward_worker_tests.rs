//! What an entry makes of a leader's answers.

use super::*;

fn request() -> CallerRequest {
    CallerRequest {
        id: Uuid::now_v7(),
        id_from_caller: true,
        repeated: false,
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
fn a_leader_that_did_not_run_a_request_and_no_longer_leads_is_asked_no_further() {
    let notice = RefusalNotice::not_run(RefusalReason::NoLeader);
    let step = step_of(&request(), CallerAnswer::Refusal(notice));
    assert!(matches!(step, ForwardStep::Retry));
}

#[test]
fn a_request_that_may_have_run_before_its_leader_was_deposed_is_not_counted_as_not_run() {
    // The server fell silent under the first attempt, and the lease ended before the second.
    let notice = RefusalNotice::not_run(RefusalReason::NoLeader).after_unclear_attempt();
    let step = step_of(&request(), CallerAnswer::Refusal(notice));
    assert!(matches!(step, ForwardStep::Lost));
}
