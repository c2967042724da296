//! Quarantines when the store comes back from an older copy.

use crate::{POISON, at, store, table_after};
use geraniummast_routing::*;

fn in_era(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(era, number)
}

/// Table of an instance that knows only from the store that a quarantine has had two trials, and the
/// record as it was before the second one.
fn table_with_two_trials() -> (QuarantineTable, QuarantineRecord) {
    let mut record = QuarantineRecord::default();
    assert!(table_after(3).update_record(&mut record, false, 1_000));
    let mut table = QuarantineTable::default();
    table.apply_record(&record, in_era(1, 90), at(0));
    assert!(record.start_trial(POISON, 0));
    let earlier = record.clone();
    assert!(record.start_trial(POISON, 1));
    table.apply_record(&record, in_era(1, 91), at(1_000));
    (table, earlier)
}

// Guards against a quarantine that ends because the copy from which the store is restored lacks it.
#[test]
fn quarantine_that_the_copy_lacks_stays_in_force_and_is_written_again() {
    let (mut table, _) = table_with_two_trials();
    let mut record = QuarantineRecord::default();
    assert!(!table.update_record(&mut record, true, 1_000));
    table.apply_missing_record(in_era(1, 95), at(1_000));
    assert!(!table.is_restoring(), "it is of the same era");
    for era in [2, 3] {
        table.apply_missing_record(in_era(era, 80), at(2_000));
        let held = table.standing(POISON, at(9_000_000));
        assert!(matches!(held, RequestStanding::Held(_)), "{held:?}");
        assert!(table.is_restoring());
        // Another quarantine, of an instance that does not know this one.
        table.apply_record(&QuarantineRecord::default(), in_era(era, 81), at(2_100));
        assert_eq!(table.lost_count(), 1);
    }
    assert!(!table.update_record(&mut record, false, 1_000));
    assert!(table.update_record(&mut record, table.is_restoring(), 1_000));
    assert_eq!(record.requests[&POISON].trials, 2);
    table.apply_record(&record, in_era(3, 82), at(2_200));
    assert!(!table.is_restoring());
    let due = table.standing(POISON, at(3_700_000));
    assert_eq!(due, RequestStanding::TrialDue(2));
}

// Guards against a trial that is given out again because the store has lost its number.
#[test]
fn trial_that_the_copy_lacks_is_counted_again_before_the_next_one() {
    let (mut table, earlier) = table_with_two_trials();
    let mut record = earlier;
    table.apply_record(&record, in_era(2, 80), at(2_000));
    let held = table.standing(POISON, at(9_000_000));
    assert!(matches!(held, RequestStanding::Held(_)), "{held:?}");
    assert!(table.update_record(&mut record, true, 1_000));
    assert_eq!(record.requests[&POISON].trials, 2);
    assert!(!record.start_trial(POISON, 1));
    table.apply_record(&record, in_era(2, 81), at(2_100));
    let due = table.standing(POISON, at(3_700_000));
    assert_eq!(due, RequestStanding::TrialDue(2));
}

// Guards against a quarantine that has ended and is in force again by a restored record.
#[test]
fn quarantine_that_ended_before_the_restore_does_not_come_back() {
    let mut finder = table_after(3);
    let quarantined = store(&mut finder, at(30));
    let mut other = QuarantineTable::default();
    other.apply_record(&quarantined, 1.into(), at(40));
    finder.record_success(POISON, at(700));
    for table in [&mut finder, &mut other] {
        table.apply_record(&QuarantineRecord::default(), 2.into(), at(800));
        table.apply_record(&quarantined, in_era(1, 1), at(900));
        assert_eq!(table.standing(POISON, at(900)), RequestStanding::Clear);
        let mut record = quarantined.clone();
        assert!(table.update_record(&mut record, table.is_restoring(), 1_000));
        assert!(record.requests.is_empty());
        table.apply_record(&record, in_era(1, 2), at(950));
        assert!(!table.is_restoring());
        // Another instance quarantines it anew.
        table.apply_record(&quarantined, in_era(1, 3), at(1_000));
        let held = table.standing(POISON, at(1_000));
        assert!(matches!(held, RequestStanding::Held(_)), "{held:?}");
    }
}
