//! Pattern: overload with retries. Callers that were refused come back past their target; they must
//! not hold up first attempts while servers have room.

use geraniummast_routing::{QueueRank, QueueTicket, WaitingQueue};

const IN_TIME: QueueRank = QueueRank {
    is_late: false,
    priority: 2,
};
const LATE: QueueRank = QueueRank {
    is_late: true,
    priority: 2,
};

#[test]
fn a_late_request_at_the_head_does_not_hold_up_one_in_time() {
    let mut queue = WaitingQueue::default();
    let late = queue.join(LATE);
    assert!(
        queue.is_next(None, IN_TIME),
        "a first attempt passes a late retry"
    );
    let in_time = queue.join(IN_TIME);
    assert!(queue.is_next(Some(in_time), IN_TIME));
    assert!(!queue.is_next(Some(late), LATE));
    queue.leave(in_time);
    assert!(queue.is_next(Some(late), LATE));
}

#[test]
fn a_request_that_becomes_late_while_it_waits_steps_back() {
    let mut queue = WaitingQueue::default();
    let first = queue.join(IN_TIME);
    let second = queue.join(IN_TIME);
    assert!(!queue.is_next(Some(second), IN_TIME));
    let first = queue.rerank(first, LATE);
    assert!(queue.is_next(Some(second), IN_TIME));
    assert!(!queue.is_next(Some(first), LATE));
}

#[test]
fn priority_goes_before_arrival_and_arrival_decides_among_equals() {
    let mut queue = WaitingQueue::default();
    let low = queue.join(IN_TIME);
    let high = QueueRank {
        priority: 1,
        ..IN_TIME
    };
    let first = queue.join(high);
    let second = queue.join(high);
    let is_next =
        |queue: &WaitingQueue, ticket: QueueTicket, rank| queue.is_next(Some(ticket), rank);
    assert!(is_next(&queue, first, high));
    assert!(!is_next(&queue, second, high));
    assert!(!is_next(&queue, low, IN_TIME));
    assert!(
        !queue.is_next(None, high),
        "one that has just come is behind its equals"
    );
    assert_eq!(queue.ahead(high), 2);
    assert_eq!(queue.len(), 3);
}
