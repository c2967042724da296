//! Tests of the choice of the connection that gives way.

use crate::prelude::*;

fn silent(opened_at: u64) -> ConnectionActivity {
    ConnectionActivity::new(MonoTime(opened_at))
}

fn running(since: u64) -> ConnectionActivity {
    let mut activity = silent(0);
    activity.receive(MonoTime(since));
    activity.run(MonoTime(since));
    activity
}

fn idle(since: u64) -> ConnectionActivity {
    let mut activity = running(0);
    activity.rest(MonoTime(since));
    activity
}

fn head(since: u64) -> ConnectionActivity {
    let mut activity = silent(0);
    activity.receive(MonoTime(since));
    activity
}

fn decide(max: usize, activities: &[ConnectionActivity]) -> ListenerStep<usize> {
    ListenerStep::decide(max, activities.iter().copied().enumerate())
}

// Load pattern: callers within the limit. Guards against closing connections without need.
#[test]
fn connection_below_the_limit_is_admitted() {
    assert_eq!(decide(3, &[silent(1), idle(2)]), ListenerStep::Admit);
}

// Load pattern: as many connections that send nothing as the limit allows. Guards against silent
// connections that lock out all other callers.
#[test]
fn silent_connection_that_was_opened_first_gives_way() {
    let silent_ones = [silent(30), silent(10), silent(20)];
    assert_eq!(decide(3, &silent_ones), ListenerStep::Replace(1));
}

// Load pattern: silent connections beside kept ones that callers reuse. Guards against closing the
// connections of well-behaved callers while silent ones stay.
#[test]
fn silent_connection_gives_way_before_a_kept_one() {
    let mixed = [idle(5), running(1), silent(90)];
    assert_eq!(decide(3, &mixed), ListenerStep::Replace(2));
}

// Load pattern: kept connections only. Guards against closing the one that was used last, which is
// the most likely to be used again.
#[test]
fn connection_idle_for_longest_gives_way_among_kept_ones() {
    let kept = [idle(40), idle(20), running(1), idle(30)];
    assert_eq!(decide(4, &kept), ListenerStep::Replace(1));
}

// Load pattern: all connections busy. Guards against losing a request in progress.
#[test]
fn new_connection_is_refused_when_all_have_a_request_in_progress() {
    let busy = [running(1), head(2), running(3)];
    assert_eq!(decide(3, &busy), ListenerStep::Refuse);
}

// Load pattern: many connections arrive before those that give way have closed. Guards against
// closing the same connection twice, and against counting it as open.
#[test]
fn connection_that_is_closing_neither_counts_nor_gives_way_again() {
    let mut closing = silent(1);
    closing.begin_closing();
    assert_eq!(decide(2, &[closing, silent(2)]), ListenerStep::Admit);
    let full = [closing, silent(2), silent(3)];
    assert_eq!(decide(2, &full), ListenerStep::Replace(1));
}

// Load pattern: a request arrives on a connection at the moment in which it gives way. Guards
// against more requests in progress than the limit allows.
#[test]
fn closing_connection_with_a_request_counts_until_it_is_closed() {
    let mut closing = idle(1);
    closing.begin_closing();
    closing.receive(MonoTime(2));
    assert_eq!(decide(2, &[closing, running(2)]), ListenerStep::Refuse);
}
