//! Tests of the schedule of a graceful stop.

use crate::{prelude::*, stop_plan::StopPlan, test_node};

const PLAN: StopPlan = StopPlan {
    min_duration: Duration::from_millis(3_200),
    close_idle_at: Duration::from_millis(2_880),
    answer_pending_at: Duration::from_millis(5_300),
    limit: Duration::from_millis(5_600),
    answer_delivery_time: Duration::from_millis(300),
};

fn progress(elapsed_ms: u64, connections: usize) -> StopProgress {
    StopProgress {
        elapsed: Duration::from_millis(elapsed_ms),
        connections,
        is_accepting: true,
        ..StopProgress::default()
    }
}

fn answered(elapsed_ms: u64, since_answered_ms: u64) -> StopProgress {
    StopProgress {
        since_answered: Some(Duration::from_millis(since_answered_ms)),
        ..progress(elapsed_ms, 1)
    }
}

#[test]
fn stop_with_open_connection_closes_answers_and_ends() {
    assert_eq!(PLAN.next_step(progress(0, 1)), StopStep::Wait);
    assert_eq!(PLAN.next_step(progress(2_880, 1)), StopStep::CloseIdle);
    assert_eq!(PLAN.next_step(progress(5_300, 1)), StopStep::AnswerPending);
    assert_eq!(PLAN.next_step(answered(5_500, 200)), StopStep::Wait);
    assert_eq!(
        PLAN.next_step(answered(5_600, 300)),
        StopStep::End(StopOutcome::Limit)
    );
}

#[test]
fn stop_without_connections_accepts_for_min_duration() {
    assert_eq!(PLAN.next_step(progress(3_100, 0)), StopStep::CloseIdle);
    assert_eq!(PLAN.next_step(progress(3_200, 0)), StopStep::StopListening);
}

// Guards against resetting a connection that a caller opens just before the process exits.
#[test]
fn stop_without_connections_ends_only_after_listener_is_closed() {
    let not_accepting = |connections| StopProgress {
        is_accepting: false,
        ..progress(3_240, connections)
    };
    assert_eq!(
        PLAN.next_step(not_accepting(0)),
        StopStep::End(StopOutcome::Idle)
    );
    assert_eq!(
        PLAN.next_step(not_accepting(1)),
        StopStep::CloseIdle,
        "a connection was accepted just before the listener closed"
    );
}

#[test]
fn stop_of_leader_without_successor_ends_at_limit() {
    let leading = |elapsed_ms| StopProgress {
        is_leading: true,
        ..progress(elapsed_ms, 0)
    };
    assert_eq!(PLAN.next_step(leading(3_200)), StopStep::CloseIdle);
    let progress = StopProgress {
        since_answered: Some(PLAN.answer_delivery_time),
        ..leading(5_600)
    };
    assert_eq!(PLAN.next_step(progress), StopStep::End(StopOutcome::Limit));
}

// Guards against cutting requests: a process that was suspended past the limit of its stop exited
// without answering the requests it held (incident inc1).
#[test]
fn suspended_stop_past_limit_answers_before_ending() {
    assert_eq!(PLAN.next_step(progress(60_000, 3)), StopStep::AnswerPending);
    assert_eq!(PLAN.next_step(answered(60_000, 0)), StopStep::Wait);
    assert_eq!(
        PLAN.next_step(answered(60_300, 300)),
        StopStep::End(StopOutcome::Limit)
    );
}

// Guards against cutting requests: a stopping instance accepted a request that was still pending
// when the stop answered all pending requests (incident inc1).
#[test]
fn stop_refuses_request_that_would_still_be_pending_at_its_end() {
    let node = test_node::build();
    let answer_pending_at = node.settings.stop_plan().answer_pending_at;
    const ELAPSED: Duration = Duration::from_secs(4);
    *node.stopping_since.lock() = Some(node.now().before(ELAPSED));
    let caller_timeout = answer_pending_at - ELAPSED + Duration::from_millis(150);
    assert!(
        !node.accepts_request(caller_timeout),
        "pending requests are answered at {answer_pending_at:?}"
    );
}
