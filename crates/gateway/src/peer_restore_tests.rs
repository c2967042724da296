//! The other instances when the store comes back from an older copy.

use crate::{
    peer_heartbeat::PeerHeartbeat,
    peer_table_tests::{at, heartbeat, table},
    prelude::*,
};

// Guards against a live instance that gives way to its own earlier process, or is left out, because of
// the copy from which the store was restored.
#[test]
fn restored_records_do_not_replace_or_remove_a_later_incarnation_that_is_heard() {
    let mut table = table();
    let mut record = table.peers["p1"].record.clone();
    record.incarnation = 5;
    table.insert(record.clone(), StoreRevision::new(1, 90), at(900));
    let heard = PeerHeartbeat {
        incarnation: 5,
        ..heartbeat("p1", 10, false)
    };
    table.apply_heartbeat(heard, at(1_000));
    let copied = InstanceRecord {
        incarnation: 1,
        ..record.clone()
    };
    table.insert(copied, StoreRevision::new(2, 80), at(1_100));
    assert_eq!(table.peers["p1"].record, record);
    assert_eq!(table.peers["p1"].heartbeat.incarnation, 5);
    table.remove("p1", StoreRevision::new(3, 70), at(1_200));
    assert!(table.peers.contains_key("p1"));
    // It has written its record again, which is then removed in the same era.
    table.insert(record.clone(), StoreRevision::new(3, 71), at(1_300));
    table.remove("p1", StoreRevision::new(3, 72), at(1_400));
    assert!(!table.peers.contains_key("p1"));
}

// Guards against lost instances that stay known because the store was restored.
#[test]
fn instance_that_is_not_heard_is_removed_by_a_list_of_a_new_era_that_lacks_it() {
    let mut table = table();
    table.remove("p1", StoreRevision::new(2, 1), at(2_000));
    assert!(!table.peers.contains_key("p1"));
}

// Guards against the record of a removed instance, back from a copy, that counts as a live one.
#[test]
fn instance_whose_record_is_back_and_that_is_not_heard_counts_as_lost() {
    let mut table = table();
    let record = table.peers["p1"].record.clone();
    table.remove("p1", 10.into(), at(0));
    table.insert(record, StoreRevision::new(2, 5), at(5_000));
    assert_eq!(table.live_count(at(7_100)), 1);
}
