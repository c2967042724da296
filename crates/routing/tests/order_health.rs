//! What orders tell about a server.

use geraniummast_model::MonoTime;
use geraniummast_routing::{OrderFailure, OrderHealth};

// Guards against grants under an old fence to a server that started again while the store was
// unavailable: connections that were refused in between are the only sign of it.
#[test]
fn refused_or_broken_connections_leave_the_incarnation_in_doubt_until_an_answer() {
    for failure in [OrderFailure::Refused, OrderFailure::Broken] {
        let mut health = OrderHealth::default();
        assert!(!health.may_have_restarted());
        health.record_failure(failure, MonoTime(1));
        assert!(health.may_have_restarted() && !health.has_ended());
        health.record_failure(OrderFailure::Silent, MonoTime(2));
        assert!(health.may_have_restarted());
        health.record_answer();
        assert!(!health.may_have_restarted());
    }
}

#[test]
fn only_another_server_at_the_address_proves_an_end() {
    let mut health = OrderHealth::default();
    health.record_acceptance();
    health.record_rejection();
    for millis in 0..50 {
        health.record_failure(OrderFailure::Refused, MonoTime(millis * 1_000));
    }
    assert!(health.is_suspect(MonoTime(50_000)) && !health.has_ended());
    health.record_other_server();
    assert!(health.has_ended());
}
