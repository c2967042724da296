//! Learning from other instances while some of them are lost.

use crate::{
    peer_beat::{LeadBeat, PaceBeat, PeerBeat},
    prelude::*,
};

const KNOWN: [u64; 3] = [10, 10, 10];

fn table() -> PeerTable {
    let mut table = PeerTable::default();
    table.init("me", "a", MonoTime(0));
    for (number, name) in ["p1", "p2"].iter().enumerate() {
        let record = InstanceRecord {
            name: (*name).into(),
            incarnation: 1,
            address: SocketAddr::from(([127, 0, 0, 1], 10 + number as u16)),
            feed_address: SocketAddr::from(([127, 0, 0, 1], 20 + number as u16)),
            data_centre: "a".into(),
            processor_share: 1.0,
        };
        table.put(record, 1 + number as u64, MonoTime(0));
    }
    table
}

fn beat(name: &str, configuration: u64, leads: bool) -> PeerBeat {
    PeerBeat {
        instance: name.into(),
        incarnation: 1,
        revisions: [10, configuration, 10],
        watchers: vec!["p2".into()],
        leads: vec![LeadBeat {
            service: "s".into(),
            term: 1,
            leads,
            confirmed_age: Duration::ZERO,
        }],
        ..PeerBeat::default()
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

#[test]
fn whoever_told_first_and_was_lost_does_not_keep_the_others_from_being_asked() {
    let mut table = table();
    table.heard(beat("p1", 15, false), at(1_000));
    let first = table.newer_source(KNOWN, None, at(1_000)).unwrap().0;
    assert_eq!(first.port(), 20);
    table.heard(beat("p2", 15, true), at(1_100));
    let failed = table.newer_source(KNOWN, Some(first), at(1_200)).unwrap().0;
    assert_eq!(failed.port(), 21, "one that did not answer is asked last");
    table.heard(beat("p2", 15, true), at(3_500));
    let later = table.newer_source(KNOWN, None, at(3_600)).unwrap().0;
    assert_eq!(
        later.port(),
        21,
        "one that is not heard any more is not asked"
    );
}

#[test]
fn an_instance_that_stays_behind_watches_the_store_by_itself() {
    let mut table = table();
    table.heard(beat("p1", 15, true), at(1_000));
    table.newer_source(KNOWN, None, at(1_000));
    assert!(!table.should_watch(false, at(1_100)));
    table.heard(beat("p1", 15, true), at(1_500));
    table.newer_source(KNOWN, None, at(1_500));
    assert!(table.should_watch(false, at(1_700)));
    table.newer_source([10, 15, 10], None, at(1_800));
    assert!(!table.should_watch(false, at(1_800)), "it has caught up");
}

#[test]
fn an_instance_that_hears_no_leader_watches_the_store() {
    let mut table = table();
    assert!(table.should_watch(false, at(100)));
    table.heard(beat("p1", 10, true), at(1_000));
    assert!(!table.should_watch(false, at(1_500)));
    assert!(table.should_watch(false, at(2_200)));
}

#[test]
fn a_leader_that_hears_few_instances_does_not_give_each_a_larger_budget() {
    let mut table = table();
    let mut lonely = beat("p1", 10, true);
    lonely.heard = 1;
    table.heard(lonely, at(1_000));
    assert_eq!(table.instance_count(), 3, "the others may go on serving");
}

#[test]
fn nobody_is_heard_any_more_soon_after_the_last_heartbeat() {
    let mut table = table();
    table.heard(beat("p1", 10, false), at(10_000));
    assert!(table.hears_any(at(10_500)));
    assert!(!table.hears_any(at(11_000)));
    assert!(PeerTable::default().hears_any(at(0)), "alone");
}

#[test]
fn service_times_are_kept_over_heartbeats_that_tell_none() {
    let mut table = table();
    let server = ServerIncarnation {
        id: "s".into(),
        born: 1,
    };
    let pace = PaceBeat {
        server: server.clone(),
        service_time: 0.2,
        samples: 5,
    };
    let telling = PeerBeat {
        paces: vec![pace],
        ..beat("p1", 10, false)
    };
    table.heard(telling, at(100));
    table.heard(beat("p1", 10, false), at(350));
    assert_eq!(table.pace_of(&server), (0.2, 5));
}

#[test]
fn places_follow_the_instances_that_are_known() {
    let mut table = table();
    let place = |index, count| InstancePosition { index, count };
    assert_eq!(table.positions().all, place(0, 3), "before p1 and p2");
    let record = InstanceRecord {
        name: "a1".into(),
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 30)),
        feed_address: SocketAddr::from(([127, 0, 0, 1], 31)),
        data_centre: "b".into(),
        processor_share: 1.0,
    };
    table.put(record, 9, MonoTime(0));
    assert_eq!(table.positions().all, place(1, 4));
    assert_eq!(table.positions().local, place(0, 3));
    table.forget("p1");
    assert_eq!(table.positions().local, place(0, 2));
}
