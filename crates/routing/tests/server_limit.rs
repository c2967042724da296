//! Tests of the limit that a server names in its answers.

use geraniummast_model::MonoTime;
use geraniummast_routing::{LimitChange, LimitNotice, LimitReport, ServerLimit};
use std::time::Duration;

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
    assert_eq!(limit.per_second(at(60)), Some(7.4));
    let later_request = limit.apply(LimitNotice::Unlimited, at(51), at(70));
    assert_eq!(later_request, LimitChange::Lifted);
    assert_eq!(limit.per_second(at(70)), None);
}

#[test]
fn unreadable_limit_leaves_the_last_one_in_force() {
    let mut limit = ServerLimit::default();
    limit.apply(LimitNotice::PerSecond(3.0), at(0), at(10));
    let change = limit.apply(LimitNotice::Unreadable, at(20), at(30));
    assert_eq!(
        (change, limit.per_second(at(30))),
        (LimitChange::Unchanged, Some(3.0))
    );
}

#[test]
fn small_changes_are_applied_without_a_report() {
    let mut limit = ServerLimit::default();
    limit.apply(LimitNotice::PerSecond(4.0), at(0), at(10));
    let small = limit.apply(LimitNotice::PerSecond(4.4), at(20), at(30));
    assert_eq!(
        (small, limit.per_second(at(30))),
        (LimitChange::Unchanged, Some(4.4))
    );
    let large = limit.apply(LimitNotice::PerSecond(8.0), at(40), at(50));
    assert_eq!(large, LimitChange::Named(8.0));
}

#[test]
fn limit_that_is_not_heard_of_again_ends() {
    let mut limit = ServerLimit::default();
    limit.apply(LimitNotice::PerSecond(3.0), at(0), at(10));
    limit.apply(LimitNotice::Unreadable, at(20_000), at(20_010));
    assert_eq!(limit.per_second(at(30_000)), Some(3.0));
    assert_eq!(limit.per_second(at(30_010)), None);
}

#[test]
fn latest_word_counts_among_own_answers_and_reports() {
    let report = |per_second, millis| LimitReport {
        per_second,
        age: Duration::from_millis(millis),
    };
    let mut limit = ServerLimit::default();
    limit.apply_report(report(Some(5.0), 100), at(1_000));
    assert_eq!(limit.per_second(at(1_000)), Some(5.0));
    limit.apply(LimitNotice::PerSecond(2.0), at(990), at(1_010));
    limit.apply_report(report(None, 200), at(1_100));
    assert_eq!(limit.per_second(at(1_100)), Some(2.0));
    limit.apply_report(report(None, 10), at(1_100));
    assert_eq!(limit.per_second(at(1_100)), None);
}

#[test]
fn reports_of_others_are_passed_on_by_a_relay_only() {
    let mut limit = ServerLimit::default();
    let heard = LimitReport {
        per_second: Some(5.0),
        age: Duration::ZERO,
    };
    limit.apply_report(heard, at(1_000));
    assert_eq!(limit.report(false, at(1_000)), None);
    assert_eq!(limit.report(true, at(1_000)), Some(heard));
    limit.apply(LimitNotice::PerSecond(5.0), at(1_000), at(1_100));
    let age = Duration::from_millis(50);
    let told = limit.report(false, at(1_150));
    assert_eq!(told, Some(LimitReport { age, ..heard }));
}
