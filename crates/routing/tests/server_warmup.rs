//! Tests of the time for which a server is cold.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use std::time::Duration;

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn apply(warmup: &mut ServerWarmup, left: u64, revision: u64, now: u64) -> WarmupChange {
    warmup.apply_entry(millis(left), revision.into(), None, at(now))
}

// Guards against a server that gets full load right after its start, or when it is cold again.
#[test]
fn server_is_cold_by_its_first_entry_and_by_one_that_says_more() {
    let mut warmup = ServerWarmup::default();
    assert_eq!(
        apply(&mut warmup, 3_000, 1, 1_000),
        WarmupChange::Cold(millis(3_000))
    );
    assert!(warmup.is_cold(at(3_999)) && !warmup.is_cold(at(4_000)));
    assert_eq!(apply(&mut warmup, 0, 2, 5_000), WarmupChange::Unchanged);
    assert_eq!(
        apply(&mut warmup, 8_000, 3, 6_000),
        WarmupChange::Cold(millis(8_000))
    );
    assert_eq!(warmup.time_left(at(7_000)), millis(7_000));
}

// Guards against a cold server that counts as warm by a word that is older than the latest one, or
// arrived after it: an entry takes up to two seconds.
#[test]
fn word_that_says_less_ends_nothing() {
    let mut warmup = ServerWarmup::default();
    apply(&mut warmup, 0, 1, 1_000);
    warmup.apply_answer(millis(8_000), at(2_000));
    for (left, revision) in [(0, 2), (500, 3)] {
        apply(&mut warmup, left, revision, 2_500);
    }
    warmup.apply_answer(Duration::ZERO, at(2_600));
    warmup.apply_report(millis(10), at(2_600));
    assert_eq!(warmup.time_left(at(3_000)), millis(7_000));
}

// Guards against a server that stays cold for ever, because each refresh of the server list reads
// its last entry again, and against entries of a restored copy.
#[test]
fn same_or_earlier_entry_says_nothing_new() {
    let mut warmup = ServerWarmup::default();
    apply(&mut warmup, 3_000, 5, 1_000);
    for revision in [5, 4] {
        apply(&mut warmup, 3_000, revision, 3_900);
    }
    assert!(!warmup.is_cold(at(4_000)));
    let mut counted = ServerWarmup::default();
    let mut apply = |left, revision, sequence| {
        let left = millis(left);
        counted.apply_entry(left, revision, Some(sequence), at(1_000))
    };
    apply(0, StoreRevision::new(1, 9), 4);
    let copied = apply(3_000, StoreRevision::new(2, 3), 2);
    assert_eq!(copied, WarmupChange::Unchanged);
    let later = apply(3_000, StoreRevision::new(2, 4), 5);
    assert_eq!(later, WarmupChange::Cold(millis(3_000)));
}

// Guards against instances that put off the end with each message that they send each other.
#[test]
fn instances_that_tell_each_other_do_not_put_off_the_end() {
    let mut one = ServerWarmup::default();
    let mut leader = ServerWarmup::default();
    let mut other = ServerWarmup::default();
    one.apply_answer(millis(8_000), at(0));
    for now in (0..12_000).step_by(100) {
        if let Some(left) = one.report(false, at(now)) {
            leader.apply_report(left, at(now + 90));
        }
        if let Some(left) = leader.report(true, at(now + 90)) {
            for told in [&mut one, &mut other] {
                told.apply_report(left, at(now + 180));
            }
        }
        assert_eq!(
            other.report(false, at(now)),
            None,
            "passed on by leaders only"
        );
    }
    assert_eq!(one.time_left(at(7_000)), millis(1_000));
    assert_eq!(leader.time_left(at(7_000)), millis(1_090));
    assert_eq!(other.time_left(at(7_000)), millis(1_180));
}

// Guards against full load on the servers of a data centre that is back in use: their entries say
// that they are cold up to two seconds later.
#[test]
fn presumed_time_is_counted_from_its_cause_and_needs_no_entry() {
    let mut warmup = ServerWarmup::default();
    apply(&mut warmup, 0, 1, 1_000);
    let late = warmup.presume(at(2_000), at(2_500));
    assert_eq!(late, WarmupChange::Unchanged, "over before it was known");
    let change = warmup.presume(at(10_000), at(2_500));
    assert_eq!(change, WarmupChange::Cold(millis(7_500)));
    let again = warmup.presume(at(10_000), at(3_000));
    assert_eq!(again, WarmupChange::Unchanged);
    apply(&mut warmup, 0, 2, 4_000);
    assert!(warmup.is_cold(at(9_999)) && !warmup.is_cold(at(10_000)));
}

#[test]
fn end_is_noticed_once() {
    let mut warmup = ServerWarmup::default();
    assert!(!warmup.take_end(at(0)));
    apply(&mut warmup, 3_000, 1, 1_000);
    assert!(!warmup.take_end(at(3_999)));
    assert!(warmup.take_end(at(4_000)));
    assert!(!warmup.take_end(at(4_100)));
}

// Guards against a bound that is smaller than what the bucket and its leases let through.
#[test]
fn rate_of_tokens_is_lowered_where_the_bound_is_narrow() {
    let bound = |overage, slack| WarmupBound { overage, slack };
    assert_eq!(bound(1.5, 8.0).rate(7.3), 7.3);
    let narrow = bound(1.0, 2.0).rate(7.3);
    assert!(narrow > 3.0 && narrow < 7.3 / 2.0, "{narrow}");
    assert_eq!(bound(1.0, 0.0).rate(1.0), 0.0);
}
