//! Evacuations of data centres by lists and changes, in several eras of the store.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use std::time::Duration;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms))
}

fn objects(names: &[&str], revision: StoreRevision) -> Vec<(String, StoreRevision)> {
    let objects = names.iter().map(|name| (String::from(*name), revision));
    objects.collect()
}

/// Has the table take over what the store has at a revision; the changes are 300 ms old.
fn update(
    table: &mut EvacuationTable,
    names: &[&str],
    removed: &[&str],
    revision: StoreRevision,
    ms: u64,
) -> Vec<(String, bool)> {
    let times = EvacuationTimes {
        changed_at: at(ms - 300),
        now: at(ms),
    };
    let removed: Vec<String> = removed.iter().map(|name| String::from(*name)).collect();
    let changes = table.update(&objects(names, revision), &removed, revision, times);
    let changes = changes.into_iter();
    let changes = changes.map(|change| (change.data_centre, change.is_evacuated));
    changes.collect()
}

fn first_era(number: u64) -> StoreRevision {
    StoreRevision::new(1, number)
}

// Guards against requests to servers of which an instance that starts does not know yet that they are
// evacuated.
#[test]
fn every_data_centre_counts_as_evacuated_for_long_until_the_first_update() {
    let mut table = EvacuationTable::default();
    assert!(!table.is_known());
    assert_eq!(table.since("dc1"), Some(MonoTime::default()));
    assert!(update(&mut table, &[], &[], first_era(1), 1_000).is_empty());
    assert!(table.is_known());
    assert!(!table.is_evacuated("dc1"));
    assert_eq!(table.taken_back_at("dc1"), None);
}

// Guards against a longer time for the owners of keys each time the object is written again.
#[test]
fn evacuation_counts_from_its_first_write() {
    let mut table = EvacuationTable::default();
    update(&mut table, &[], &[], first_era(1), 1_000);
    let changes = update(&mut table, &["dc1"], &[], first_era(5), 2_000);
    assert_eq!(changes, [("dc1".into(), true)]);
    assert!(update(&mut table, &["dc1"], &[], first_era(6), 4_000).is_empty());
    assert_eq!(table.since("dc1"), Some(at(1_700)));
    assert!(!table.is_evacuated("dc2"));
}

// Guards against servers that get their full share at once although they became cold meanwhile.
#[test]
fn return_of_a_data_centre_has_a_time() {
    let mut table = EvacuationTable::default();
    update(&mut table, &["dc1", "dc2"], &[], first_era(1), 1_000);
    assert_eq!(table.count(), 2);
    assert_eq!(table.taken_back_at("dc1"), None);
    let changes = update(&mut table, &["dc2"], &["dc1"], first_era(5), 2_000);
    assert_eq!(changes, [("dc1".into(), false)]);
    assert_eq!(table.taken_back_at("dc1"), Some(at(2_000)));
    assert_eq!(table.taken_back_at("dc2"), None);
    update(&mut table, &["dc1", "dc2"], &[], first_era(6), 3_000);
    assert_eq!(table.taken_back_at("dc1"), None, "evacuated again");
    // Written and removed again before this instance heard of it.
    update(&mut table, &["dc1", "dc2"], &["dc3"], first_era(8), 4_000);
    assert_eq!(table.taken_back_at("dc3"), Some(at(4_000)));
}

// Guards against an evacuation that a restored store lacks and that ends before an operator can write it
// again, or never.
#[test]
fn evacuation_of_an_earlier_era_ends_after_the_settle_time() {
    let mut table = EvacuationTable::default();
    update(&mut table, &["dc1", "dc2"], &[], first_era(9), 1_000);
    let second_era = |number| StoreRevision::new(2, number);
    assert!(update(&mut table, &[], &[], second_era(7), 5_000).is_empty());
    let changes = update(&mut table, &["dc2"], &[], second_era(8), 6_000);
    assert!(changes.is_empty(), "written again");
    assert!(table.settle(at(8_100)).is_empty());
    let ended = table.settle(at(8_300));
    let names: Vec<&str> = ended.iter().map(|end| end.data_centre.as_str()).collect();
    assert_eq!(names, ["dc1"]);
    assert!(table.is_evacuated("dc2"));
    let changes = update(&mut table, &[], &["dc2"], second_era(9), 9_000);
    assert_eq!(changes, [("dc2".into(), false)]);
}
