//! Takeover of the leadership, and the retry delay given to refused callers.

use geraniummast_model::MonoTime;
use geraniummast_routing::{CompletionRate, LeaderView, TakeoverStep};
use std::time::Duration;

const HEALTHY: LeaderView = LeaderView {
    is_own_earlier_incarnation: false,
    silence: Duration::from_millis(300),
    confirmation_age: Duration::from_millis(2_000),
    hears_peers: true,
    is_leaving: false,
    rank: 0,
};

#[test]
fn healthy_leader_is_followed() {
    assert_eq!(HEALTHY.next_step(), TakeoverStep::Follow);
}

#[test]
fn restarted_leader_takes_over_at_once() {
    let view = LeaderView {
        is_own_earlier_incarnation: true,
        ..HEALTHY
    };
    assert_eq!(view.next_step(), TakeoverStep::TakeOver);
}

#[test]
fn silent_leader_is_replaced_by_the_first_rank() {
    let silence = Duration::from_millis(800);
    let first = LeaderView { silence, ..HEALTHY };
    assert_eq!(first.next_step(), TakeoverStep::TakeOver);
    assert_eq!(
        LeaderView { rank: 3, ..first }.next_step(),
        TakeoverStep::Follow
    );
}

#[test]
fn instance_that_hears_no_peers_delays_takeover() {
    let view = LeaderView {
        silence: Duration::from_secs(3),
        hears_peers: false,
        ..HEALTHY
    };
    assert_eq!(view.next_step(), TakeoverStep::Follow);
}

#[test]
fn unconfirmed_leader_is_replaced_before_its_authority_ends() {
    let view = LeaderView {
        confirmation_age: Duration::from_secs(3),
        ..HEALTHY
    };
    assert_eq!(view.next_step(), TakeoverStep::TakeOver);
}

#[test]
fn leaving_leader_is_replaced_by_the_first_rank_only() {
    let view = LeaderView {
        is_leaving: true,
        ..HEALTHY
    };
    assert_eq!(view.next_step(), TakeoverStep::TakeOver);
    assert_eq!(
        LeaderView { rank: 1, ..view }.next_step(),
        TakeoverStep::Follow
    );
}

#[test]
fn retry_after_follows_completion_rate_and_spreads_callers() {
    let mut completion_rate = CompletionRate::default();
    let now = MonoTime(5_000_000);
    for end in 0..50 {
        completion_rate.record_completion(MonoTime(4_000_000 + end * 20_000));
    }
    assert!((completion_rate.per_second(now) - 50.0).abs() < 1.0);
    let shortest = completion_rate.retry_after(24, now, 0.0);
    let longest = completion_rate.retry_after(24, now, 1.0);
    assert!(shortest < longest);
    assert!(shortest > Duration::from_millis(350) && longest < Duration::from_millis(650));
}
