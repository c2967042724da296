//! Tests of the objects of a store that is restored from a copy.

use crate::{prelude::*, store_objects::WriteError};
use serde_json::{Value, json};

/// Writes a value to the one record of these tests and returns its revision.
fn write(objects: &mut StoreObjects, value: u64) -> u64 {
    let written = objects.put(ObjectKind::Records, "record", json!(value), Value::Null);
    written.revision.number
}

/// Objects with one record, a copy of them, and two writes since.
fn copied() -> (StoreObjects, StoreObjects) {
    let mut objects = StoreObjects::default();
    write(&mut objects, 1);
    let copy = objects.clone();
    write(&mut objects, 2);
    write(&mut objects, 3);
    (objects, copy)
}

#[test]
fn restored_store_has_lost_what_was_written_since_the_copy() {
    let (mut objects, copy) = copied();
    objects.put(ObjectKind::Records, "later", json!(1), Value::Null);
    objects.restore(&copy);
    let record = objects.get(ObjectKind::Records, "record").unwrap();
    assert_eq!(record.spec, json!(1));
    assert!(objects.get(ObjectKind::Records, "later").is_none());
}

#[test]
fn removed_object_is_there_again_in_a_restored_store() {
    let (mut objects, copy) = copied();
    objects.remove(ObjectKind::Records, "record");
    objects.restore(&copy);
    assert!(objects.get(ObjectKind::Records, "record").is_some());
}

#[test]
fn restored_store_gives_revisions_out_again() {
    let (mut objects, copy) = copied();
    let lost = objects
        .get(ObjectKind::Records, "record")
        .unwrap()
        .revision
        .number;
    objects.restore(&copy);
    write(&mut objects, 4);
    assert_eq!(write(&mut objects, 5), lost);
    // A conditional write by the lost revision takes effect.
    let replaced = objects.replace(ObjectKind::Records, "record", Some(lost), json!(6));
    assert!(replaced.is_ok());
}

#[test]
fn each_restore_raises_the_era_by_one() {
    let (mut objects, copy) = copied();
    assert_eq!(objects.era(), 1);
    objects.restore(&copy);
    assert_eq!(objects.era(), 2);
    objects.restore(&copy);
    assert_eq!(objects.era(), 3, "restored twice from the same copy");
}

#[test]
fn changes_after_a_lost_revision_are_unknown_until_it_is_given_out_again() {
    let (mut objects, copy) = copied();
    let kind = ObjectKind::Records;
    let lost = objects.get(kind, "record").unwrap().revision.number;
    objects.restore(&copy);
    assert!(objects.changes(kind, lost).is_none());
    for value in 4..7 {
        write(&mut objects, value);
    }
    let changes = objects.changes(kind, lost).unwrap();
    let values: Vec<&Value> = changes
        .events
        .iter()
        .map(|event| &event.object.spec)
        .collect();
    assert_eq!(values, [&json!(6)], "what follows in the new history");
}

#[test]
fn changes_before_a_restore_are_no_longer_in_the_history() {
    let (mut objects, copy) = copied();
    objects.restore(&copy);
    let changes = objects.changes(ObjectKind::Records, 0).unwrap();
    assert_eq!(changes.events.len(), 1);
    objects.compact();
    assert!(objects.changes(ObjectKind::Records, 0).is_none());
}

#[test]
fn write_that_changes_nothing_has_no_revision_of_its_own() {
    let (mut objects, _) = copied();
    let known = objects
        .get(ObjectKind::Records, "record")
        .unwrap()
        .revision
        .number;
    assert_eq!(write(&mut objects, 3), known);
    let created = objects.create(ObjectKind::Records, "record", json!(3));
    assert_eq!(created.err(), Some(WriteError::Conflict));
}

#[test]
fn conditional_removal_of_another_revision_is_rejected() {
    let (mut objects, _) = copied();
    let known = objects
        .get(ObjectKind::Records, "record")
        .unwrap()
        .revision
        .number;
    let other = objects.remove_at(ObjectKind::Records, "record", Some(known - 1));
    assert_eq!(other.err(), Some(WriteError::Conflict));
    assert!(
        objects
            .remove_at(ObjectKind::Records, "record", Some(known))
            .is_ok()
    );
    let again = objects.remove_at(ObjectKind::Records, "record", None);
    assert_eq!(again.err(), Some(WriteError::NotFound));
}
