//! Order of waiting requests. Under overload, refused callers retry after their target latency has
//! passed; these late retries must not delay first attempts.

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
fn late_request_at_the_head_does_not_delay_one_in_time() {
    let mut queue = WaitingQueue::default();
    let late = queue.join(LATE);
    assert!(
        queue.is_next(None, IN_TIME),
        "a first attempt comes before a late retry"
    );
    let in_time = queue.join(IN_TIME);
    assert!(queue.is_next(Some(in_time), IN_TIME));
    assert!(!queue.is_next(Some(late), LATE));
    queue.leave(in_time);
    assert!(queue.is_next(Some(late), LATE));
}

#[test]
fn request_that_becomes_late_yields_to_one_in_time() {
    let mut queue = WaitingQueue::default();
    let first = queue.join(IN_TIME);
    let second = queue.join(IN_TIME);
    assert!(!queue.is_next(Some(second), IN_TIME));
    let first = queue.rerank(first, LATE);
    assert!(queue.is_next(Some(second), IN_TIME));
    assert!(!queue.is_next(Some(first), LATE));
}

#[test]
fn requests_are_ordered_by_priority_then_arrival() {
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
        "a new request comes after waiting ones of its rank"
    );
    assert_eq!(queue.ahead(high), 2);
    assert_eq!(queue.len(), 3);
}
