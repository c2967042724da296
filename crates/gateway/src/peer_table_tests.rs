//! Choice of update sources, watchers and budgets while instances are lost.

use crate::{
    peer_heartbeat::{LeadershipStatus, PeerHeartbeat, ServiceTimeReport},
    peer_leaders::FirstInstance,
    prelude::*,
};

pub(crate) const KNOWN: KindRevisions = [StoreRevision { era: 0, number: 10 }; KIND_COUNT];

pub(crate) fn table() -> PeerTable {
    let mut table = PeerTable::default();
    table.init("me", "a", MonoTime(0));
    for (number, name) in ["p1", "p2"].iter().enumerate() {
        let record = InstanceRecord {
            name: (*name).into(),
            incarnation: 1,
            address: SocketAddr::from(([127, 0, 0, 1], 10 + number as u16)),
            feed_address: SocketAddr::from(([127, 0, 0, 1], 20 + number as u16)),
            relay_address: None,
            data_centre: "a".into(),
            processor_share: 1.0,
        };
        table.insert(record, (1 + number as u64).into(), MonoTime(0));
    }
    table
}

pub(crate) fn heartbeat(name: &str, configuration: u64, is_leader: bool) -> PeerHeartbeat {
    PeerHeartbeat {
        instance: name.into(),
        incarnation: 1,
        revisions: [10.into(), configuration.into(), 10.into(), 10.into()],
        watchers: vec!["p2".into()],
        leaderships: vec![LeadershipStatus {
            service: "s".into(),
            term: 1,
            is_leader,
            confirmation_age: Duration::ZERO,
            leader_heard_at: None,
        }],
        ..PeerHeartbeat::default()
    }
}

pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// A source that was chosen first and then lost must not keep the other instances from being asked.
#[test]
fn newer_source_with_lost_instance_is_another_one() {
    let mut table = table();
    table.apply_heartbeat(heartbeat("p1", 15, false), at(1_000));
    let first = table.newer_source(KNOWN, None, at(1_000)).unwrap().0;
    assert_eq!(first.port(), 20);
    table.apply_heartbeat(heartbeat("p2", 15, true), at(1_100));
    let second = table.newer_source(KNOWN, Some(first), at(1_200)).unwrap().0;
    assert_eq!(
        second.port(),
        21,
        "the instance that did not answer comes last"
    );
    table.apply_heartbeat(heartbeat("p2", 15, true), at(3_500));
    let later = table.newer_source(KNOWN, None, at(3_600)).unwrap().0;
    assert_eq!(later.port(), 21, "the silent instance is not asked");
}

#[test]
fn instance_without_leader_watches_store() {
    let mut table = table();
    assert!(table.should_watch(false, at(100)));
    table.apply_heartbeat(heartbeat("p1", 10, true), at(1_000));
    assert!(!table.should_watch(false, at(1_500)));
    assert!(table.should_watch(false, at(2_200)));
}

// Guards against live servers that are dropped with the entries which lapse in an outage of the
// store, by the many instances that make no calls and see nothing of it.
#[test]
fn leader_tells_of_an_unstable_store_until_it_is_not_heard_any_more() {
    let mut table = table();
    let told = |leads| PeerHeartbeat {
        store_unstable: true,
        ..heartbeat("p1", 10, leads)
    };
    table.apply_heartbeat(told(false), at(1_000));
    assert!(
        !table.is_store_unstable(at(1_100)),
        "it is the word of one that others do not follow"
    );
    table.apply_heartbeat(told(true), at(2_000));
    assert!(table.is_store_unstable(at(2_900)));
    assert!(!table.is_store_unstable(at(3_200)));
    table.apply_heartbeat(heartbeat("p1", 10, true), at(3_300));
    assert!(!table.is_store_unstable(at(3_400)));
}

/// Table of an instance that has learnt of `count` others, `i000` to the last of which it has heard
/// `heard` at 1 s.
fn large_table(own: &str, count: usize, heard: impl Fn(&str) -> bool) -> PeerTable {
    let mut table = PeerTable::default();
    table.init(own, "a", MonoTime::default());
    for number in 0..count {
        let name = format!("i{number:03}");
        let record = InstanceRecord {
            name: name.clone(),
            incarnation: 1,
            address: SocketAddr::from(([127, 0, 1, (number / 200) as u8], 1 + number as u16)),
            feed_address: SocketAddr::from(([127, 0, 0, 1], 1 + number as u16)),
            relay_address: None,
            data_centre: "a".into(),
            processor_share: 1.0,
        };
        table.insert(record, (1 + number as u64).into(), MonoTime::default());
        if heard(&name) {
            table.apply_heartbeat(heartbeat(&name, 10, false), at(1_000));
        }
    }
    table
}

// Guards against a service without a leader for which all instances watch the store, ask each other
// or count as the first.
#[test]
fn few_of_295_instances_act_for_all_while_no_leader_does() {
    let names: Vec<String> = (0..295).map(|number| format!("i{number:03}")).collect();
    let volunteers = large_table("i000", 295, |_| false).volunteers;
    assert_eq!(volunteers.len(), WatcherSelection::MAX_VOLUNTEERS);
    let mut watching = 0;
    let mut sent = 0;
    let mut firsts = 0;
    for own in names.iter().step_by(7).chain(&volunteers) {
        let table = large_table(own, 295, |name| volunteers.iter().any(|one| one == name));
        let is_volunteer = volunteers.contains(own);
        assert_eq!(table.should_watch(false, at(1_100)), is_volunteer, "{own}");
        watching += usize::from(is_volunteer);
        sent += table.exchange_addresses().len();
        let is_first = matches!(table.first_instance(at(1_100)), FirstInstance::Own(_));
        firsts += usize::from(is_first);
    }
    assert!(watching >= volunteers.len());
    assert!(firsts <= 2, "{firsts}: at most the same one twice");
    assert!(
        sent <= 2 * volunteers.len() * 295 + 295 * volunteers.len(),
        "{sent}"
    );
}

#[test]
fn instance_that_hears_nobody_watches_the_store() {
    let names: Vec<String> = (0..40).map(|number| format!("i{number:03}")).collect();
    let other = names
        .iter()
        .find(|own| !large_table(own, 40, |_| false).is_volunteer());
    let table = large_table(other.unwrap(), 40, |name| name == "i001" || name == "i002");
    assert!(!table.should_watch(false, at(2_000)));
    assert!(table.should_watch(false, at(2_200)));
}

/// A leader that hears few instances must not enlarge each instance's share of the budgets.
#[test]
fn instance_count_with_isolated_leader_includes_announced_instances() {
    let mut table = table();
    let mut isolated = heartbeat("p1", 10, true);
    isolated.live_count = 1;
    table.apply_heartbeat(isolated, at(1_000));
    assert_eq!(
        table.instance_count(),
        3,
        "silent instances may still serve requests"
    );
}

#[test]
fn hears_any_after_silence_is_false() {
    let mut table = table();
    table.apply_heartbeat(heartbeat("p1", 10, false), at(10_000));
    assert!(table.hears_any(at(10_500)));
    assert!(!table.hears_any(at(11_000)));
    assert!(
        PeerTable::default().hears_any(at(0)),
        "no other instance is known"
    );
}

#[test]
fn heartbeat_without_service_times_keeps_earlier_ones() {
    let mut table = table();
    let server = ServerIncarnation {
        id: "s".into(),
        born: 1,
    };
    let report = ServiceTimeReport {
        server: server.clone(),
        service_time: 0.2,
        samples: 5,
    };
    let with_service_times = PeerHeartbeat {
        service_times: vec![report],
        ..heartbeat("p1", 10, false)
    };
    table.apply_heartbeat(with_service_times, at(100));
    table.apply_heartbeat(heartbeat("p1", 10, false), at(350));
    assert_eq!(table.service_time_of(&server), (0.2, 5));
}

#[test]
fn positions_follow_known_instances() {
    let mut table = table();
    let position = |index, count| InstancePosition { index, count };
    assert_eq!(table.positions().all, position(0, 3), "before p1 and p2");
    let record = InstanceRecord {
        name: "a1".into(),
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 30)),
        feed_address: SocketAddr::from(([127, 0, 0, 1], 31)),
        relay_address: None,
        data_centre: "b".into(),
        processor_share: 1.0,
    };
    table.insert(record, 9.into(), MonoTime(0));
    assert_eq!(table.positions().all, position(1, 4));
    assert_eq!(table.positions().local, position(0, 3));
    table.remove("p1", 10.into(), at(0));
    assert_eq!(table.positions().local, position(0, 2));
}

// Guards against an instance that says once, while no leader is heard, that it has lost its servers:
// instances that do not hear it again must not leave it out as a helper for good.
#[test]
fn instance_that_lost_its_servers_long_ago_may_help() {
    let mut table = table();
    let record = InstanceRecord {
        name: "p3".into(),
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 30)),
        feed_address: SocketAddr::from(([127, 0, 0, 1], 31)),
        relay_address: Some(SocketAddr::from(([127, 0, 0, 1], 32))),
        data_centre: "a".into(),
        processor_share: 1.0,
    };
    table.insert(record, 9.into(), MonoTime(0));
    assert_eq!(table.helpers(at(500)).local.len(), 1);
    let lost = PeerHeartbeat {
        servers_lost: true,
        ..heartbeat("p3", 10, false)
    };
    table.apply_heartbeat(lost, at(1_000));
    assert!(table.helpers(at(1_100)).local.is_empty());
    assert_eq!(table.helpers(at(600_000)).local.len(), 1);
}

// Guards against a heartbeat that comes again, or after a later one: it must neither make a silent
// leader count as alive nor take back what the later one reported.
#[test]
fn heartbeat_that_was_overtaken_changes_nothing() {
    let mut table = table();
    let sent = |configuration, ms| PeerHeartbeat {
        sent_at: at(ms),
        ..heartbeat("p1", configuration, true)
    };
    table.apply_heartbeat(sent(15, 50_120), at(1_120));
    table.apply_heartbeat(sent(10, 50_000), at(1_130));
    assert!(table.newer_source(KNOWN, None, at(1_140)).is_some());
    table.apply_heartbeat(sent(15, 50_120), at(6_000));
    assert_eq!(table.live_count(at(6_010)), 1);
    assert!(table.should_watch(false, at(6_010)));
}
