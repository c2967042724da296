//! Tests of the eras that a store's answers state.

use geraniummast_model::MonoTime;
use geraniummast_routing::{EraNotice, EraTracker, EraVerdict, StoreEra};

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// Tracker to which answers have stated an era for a second.
fn tracker_of(stated: u64) -> EraTracker {
    let mut tracker = EraTracker::default();
    tracker.observe(EraNotice::Stated(stated), at(0), at(1));
    tracker
}

/// Observes the answer to a call that took 10 ms.
fn observe(tracker: &mut EraTracker, stated: u64, asked_ms: u64) -> EraVerdict {
    tracker.observe(EraNotice::Stated(stated), at(asked_ms), at(asked_ms + 10))
}

#[test]
fn higher_number_begins_an_era() {
    let mut tracker = tracker_of(3);
    let before = StoreEra {
        number: 3,
        stated: 3,
    };
    assert_eq!(
        observe(&mut tracker, 4, 1_000),
        EraVerdict::Begun { before }
    );
    assert_eq!(observe(&mut tracker, 4, 1_100), EraVerdict::Current);
    assert_eq!(tracker.era().number, 4);
}

#[test]
fn missing_and_malformed_notices_leave_the_era_in_force() {
    let mut tracker = tracker_of(3);
    for notice in [EraNotice::Missing, EraNotice::Malformed] {
        let verdict = tracker.observe(notice, at(1_000), at(1_010));
        assert_eq!(verdict, EraVerdict::Current);
        assert_eq!(tracker.era().number, 3);
    }
}

#[test]
fn late_answer_of_the_era_before_is_stale() {
    let mut tracker = tracker_of(3);
    observe(&mut tracker, 4, 1_000);
    let verdict = tracker.observe(EraNotice::Stated(3), at(900), at(9_000));
    assert_eq!(verdict, EraVerdict::Stale);
    assert_eq!(tracker.era().number, 4);
}

#[test]
fn number_that_has_fallen_for_good_begins_an_era() {
    let mut tracker = tracker_of(5);
    assert_eq!(observe(&mut tracker, 2, 1_000), EraVerdict::Stale);
    assert_eq!(observe(&mut tracker, 2, 2_000), EraVerdict::Stale);
    let confirmed = 1_000 + EraTracker::FALL_CONFIRMATION.as_millis() as u64;
    let verdict = observe(&mut tracker, 2, confirmed);
    assert!(matches!(verdict, EraVerdict::Begun { .. }));
    let era = tracker.era();
    assert_eq!((era.number, era.stated), (6, 2));
    assert_eq!(
        observe(&mut tracker, 2, confirmed + 100),
        EraVerdict::Current
    );
}

// Guards against an instance that starts over with each answer of a store which states two eras by
// turns.
#[test]
fn numbers_by_turns_begin_one_era_at_most() {
    let mut tracker = tracker_of(4);
    let begun = (0..200).filter(|turn| {
        let verdict = observe(&mut tracker, 4 + turn % 2, 1_000 + turn * 100);
        matches!(verdict, EraVerdict::Begun { .. })
    });
    assert_eq!(begun.count(), 1);
}

#[test]
fn era_of_another_instance_counts_if_it_is_later() {
    let mut tracker = tracker_of(4);
    let era = |number, stated| StoreEra { number, stated };
    assert_eq!(tracker.learn(era(4, 4), at(2_000)), None);
    assert_eq!(tracker.learn(era(3, 3), at(2_000)), None);
    assert_eq!(tracker.learn(era(5, 5), at(2_000)), Some(era(4, 4)));
    // Answers that were on their way while the other instance told of it.
    let verdict = tracker.observe(EraNotice::Stated(4), at(1_990), at(2_005));
    assert_eq!(verdict, EraVerdict::Stale);
    assert_eq!(observe(&mut tracker, 5, 2_010), EraVerdict::Current);
}

// Guards against a store whose every later restore is taken for a fall once its number has fallen.
#[test]
fn number_that_rises_again_after_a_fall_begins_an_era_at_once() {
    let mut tracker = tracker_of(12);
    observe(&mut tracker, 2, 1_000);
    observe(&mut tracker, 2, 4_000);
    assert_eq!(tracker.era().number, 13);
    let late = tracker.observe(EraNotice::Stated(12), at(3_900), at(4_100));
    assert_eq!(late, EraVerdict::Stale);
    let verdict = observe(&mut tracker, 3, 5_000);
    assert!(matches!(verdict, EraVerdict::Begun { .. }), "{verdict:?}");
    assert_eq!(tracker.era().number, 14);
}

// Guards against a number of another instance beyond which eras cannot be counted.
#[test]
fn absurd_era_of_another_instance_is_left_out() {
    let mut tracker = tracker_of(4);
    let era = StoreEra {
        number: u64::MAX,
        stated: u64::MAX,
    };
    assert_eq!(tracker.learn(era, at(2_000)), None);
    assert_eq!(tracker.era().number, 4);
}
