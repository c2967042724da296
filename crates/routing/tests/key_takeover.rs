//! When a leader is replaced, and when it is left alone.

use geraniummast_model::MonoTime;
use geraniummast_routing::{CompletionRate, LeaderView, TakeoverStep};
use std::time::Duration;

const CALM: LeaderView = LeaderView {
    is_own_earlier_run: false,
    silence: Duration::from_millis(300),
    confirmation_age: Duration::from_millis(2_000),
    hears_peers: true,
    is_leaving: false,
    rank: 0,
};

#[test]
fn a_leader_that_is_heard_and_confirmed_is_left_alone() {
    assert_eq!(CALM.next_step(), TakeoverStep::Follow);
}

#[test]
fn a_later_life_of_the_leader_takes_over_at_once() {
    let view = LeaderView {
        is_own_earlier_run: true,
        ..CALM
    };
    assert_eq!(view.next_step(), TakeoverStep::TakeOver);
}

#[test]
fn a_silent_leader_is_replaced_by_the_first_rank_first() {
    let silence = Duration::from_millis(800);
    let first = LeaderView { silence, ..CALM };
    assert_eq!(first.next_step(), TakeoverStep::TakeOver);
    assert_eq!(
        LeaderView { rank: 3, ..first }.next_step(),
        TakeoverStep::Follow
    );
}

#[test]
fn an_instance_that_hears_nobody_doubts_itself_first() {
    let view = LeaderView {
        silence: Duration::from_secs(3),
        hears_peers: false,
        ..CALM
    };
    assert_eq!(view.next_step(), TakeoverStep::Follow);
}

#[test]
fn a_leader_that_the_store_refuses_is_replaced_well_before_it_must_stop() {
    let view = LeaderView {
        confirmation_age: Duration::from_secs(3),
        ..CALM
    };
    assert_eq!(view.next_step(), TakeoverStep::TakeOver);
}

#[test]
fn a_leader_that_stops_is_replaced_by_the_first_rank_only() {
    let view = LeaderView {
        is_leaving: true,
        ..CALM
    };
    assert_eq!(view.next_step(), TakeoverStep::TakeOver);
    assert_eq!(
        LeaderView { rank: 1, ..view }.next_step(),
        TakeoverStep::Follow
    );
}

#[test]
fn callers_refused_together_are_told_to_come_back_apart_and_as_the_queue_drains() {
    let mut meter = CompletionRate::default();
    let now = MonoTime(5_000_000);
    for end in 0..50 {
        meter.record_completion(MonoTime(4_000_000 + end * 20_000));
    }
    assert!((meter.per_second(now) - 50.0).abs() < 1.0);
    let early = meter.retry_after(24, now, 0.0);
    let late = meter.retry_after(24, now, 1.0);
    assert!(early < late);
    assert!(early > Duration::from_millis(350) && late < Duration::from_millis(650));
}
