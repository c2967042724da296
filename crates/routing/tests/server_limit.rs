//! Tests of the limit that a server names in its answers.

use geraniummast_model::MonoTime;
use geraniummast_routing::{LimitChange, LimitNotice, ServerLimit};

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

#[test]
fn limit_is_in_force_until_a_later_request_is_answered_without_it() {
    let mut limit = ServerLimit::default();
    let named = limit.apply(LimitNotice::PerSecond(7.4), at(0), at(50));
    assert_eq!(named, LimitChange::Named(7.4));
    let earlier_request = limit.apply(LimitNotice::Unlimited, at(40), at(60));
    assert_eq!(earlier_request, LimitChange::Unchanged);
    assert_eq!(limit.per_second(), Some(7.4));
    let later_request = limit.apply(LimitNotice::Unlimited, at(51), at(70));
    assert_eq!(later_request, LimitChange::Lifted);
    assert_eq!(limit.per_second(), None);
}

#[test]
fn unreadable_limit_leaves_the_last_one_in_force() {
    let mut limit = ServerLimit::default();
    limit.apply(LimitNotice::PerSecond(3.0), at(0), at(10));
    let change = limit.apply(LimitNotice::Unreadable, at(20), at(30));
    assert_eq!(
        (change, limit.per_second()),
        (LimitChange::Unchanged, Some(3.0))
    );
}

#[test]
fn small_changes_are_applied_without_a_report() {
    let mut limit = ServerLimit::default();
    limit.apply(LimitNotice::PerSecond(4.0), at(0), at(10));
    let small = limit.apply(LimitNotice::PerSecond(4.4), at(20), at(30));
    assert_eq!(
        (small, limit.per_second()),
        (LimitChange::Unchanged, Some(4.4))
    );
    let large = limit.apply(LimitNotice::PerSecond(8.0), at(40), at(50));
    assert_eq!(large, LimitChange::Named(8.0));
}
