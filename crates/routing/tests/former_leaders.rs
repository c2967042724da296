//! Until when the leader of a service's keys waits for grants that its predecessors may have sent.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use std::time::Duration;

const AUTHORITY: Duration = Duration::from_secs(12);
/// Time for which a leader goes on after the last word of a supporter.
const SUPPORT: Duration = Duration::from_secs(1);
/// The same as its successors assume it.
const SUPPORT_END: Duration = Duration::from_millis(1_050);

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

fn instance(name: &str, incarnation: u64) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: name.into(),
        incarnation,
    }
}

fn timing() -> LeaderTiming {
    LeaderTiming {
        grant_duration: Duration::from_secs(2),
        renewal_interval: Duration::from_millis(550),
        authority: AUTHORITY,
        support_validity: SUPPORT,
        former_support: SUPPORT_END,
        former_authority: AUTHORITY,
        retry_delay: Duration::from_millis(300),
    }
}

fn max_validity() -> Duration {
    GrantLedger::new(timing().grant_duration).max_validity()
}

/// Record of two servers that `leader` has created.
fn first_record(leader: &InstanceIncarnation) -> KeyRecord {
    let mut record = KeyRecord::new("s", leader.clone());
    let server = |id: &str| ServerIncarnation {
        id: id.into(),
        born: 1,
    };
    record.distribute(&[(server("s1"), 1.0), (server("s2"), 1.0)]);
    record
}

// Guards against keys of a silent server that stay without an owner for 12 s after each change of
// the leader, because an instance lost long before counted as one that had just been replaced.
#[test]
fn former_leader_replaced_long_ago_delays_no_move_under_a_later_leader() {
    let (lost, second, third) = (instance("i1", 1), instance("i2", 1), instance("i3", 1));
    let record = first_record(&lost);
    let mut leader = KeyLeader::new(third.clone(), timing());
    leader.adopt(record.clone(), 1.into(), at(1_000));
    let record = record.with_leader(second.clone());
    leader.adopt(record.clone(), 2.into(), at(4_000));
    let record = record.with_leader(third);
    leader.adopt(record, 3.into(), at(26_000));
    leader.former_leader_stopped(&second, at(26_100));
    let until = leader.former_grants_until();
    assert!(until <= at(26_100).after(max_validity()), "{until:?}");
}

#[test]
fn leader_that_was_just_replaced_may_send_orders_for_its_whole_authority() {
    let (lost, second) = (instance("i1", 1), instance("i2", 1));
    let record = first_record(&lost);
    let mut leader = KeyLeader::new(second.clone(), timing());
    leader.adopt(record.clone(), 1.into(), at(1_000));
    leader.adopt(record.with_leader(second), 2.into(), at(4_000));
    let until = leader.former_grants_until();
    assert_eq!(until, at(4_000).after(AUTHORITY).after(max_validity()));
}

#[test]
fn instance_that_starts_knows_nothing_of_when_former_leaders_were_replaced() {
    let (lost, second, third) = (instance("i1", 1), instance("i2", 1), instance("i3", 2));
    let record = first_record(&lost).with_leader(second.clone());
    let mut leader = KeyLeader::new(third.clone(), timing());
    leader.adopt(record.with_leader(third), 3.into(), at(30_000));
    leader.former_leader_stopped(&second, at(30_100));
    let until = leader.former_grants_until();
    assert_eq!(until, at(30_000).after(AUTHORITY).after(max_validity()));
}

// Guards against a leader that counts as stopped by a replacement after which it led again.
#[test]
fn leader_that_led_again_after_its_replacement_may_send_orders_again() {
    let (again, second, third) = (instance("i1", 1), instance("i2", 1), instance("i3", 1));
    let record = first_record(&again);
    for reads_each_term in [true, false] {
        let mut leader = KeyLeader::new(third.clone(), timing());
        leader.adopt(record.clone(), 1.into(), at(1_000));
        let record = record.with_leader(second.clone());
        leader.adopt(record.clone(), 2.into(), at(4_000));
        let record = record.with_leader(again.clone());
        if reads_each_term {
            leader.adopt(record.clone(), 3.into(), at(18_000));
        }
        leader.adopt(record.with_leader(third.clone()), 4.into(), at(20_000));
        leader.former_leader_stopped(&second, at(20_100));
        let until = leader.former_grants_until();
        assert_eq!(until, at(20_000).after(AUTHORITY).after(max_validity()));
    }
}

// Guards against a move that goes on waiting for a former leader after that is known to have
// stopped.
#[test]
fn proof_that_the_former_leader_has_stopped_ends_the_wait_of_a_move() {
    let (lost, own) = (instance("i1", 1), instance("i2", 1));
    let record = first_record(&lost);
    let moved = record.ranges[0].clone();
    let receiver = record.ranges[1].owner.clone();
    let mut leader = KeyLeader::new(own.clone(), timing());
    leader.adopt(record.clone(), 1.into(), at(1_000));
    let mut record = record.with_leader(own);
    for range in &mut record.ranges {
        range.state = RangeState::Settled;
    }
    leader.adopt(record.clone(), 2.into(), at(4_000));
    leader.confirm_leadership(at(4_000));
    record.assign(moved.first, moved.last, &receiver, false);
    leader.adopt(record, 3.into(), at(4_500));
    let grants_at = |leader: &mut KeyLeader, millis: u64| {
        let mut is_granted = false;
        for step in leader.due_move_steps(at(millis)) {
            match step {
                MoveStep::Release { range, .. } => leader.finish_release(&range, None, at(millis)),
                MoveStep::Grant { .. } => is_granted = true,
            }
        }
        is_granted
    };
    assert!(!grants_at(&mut leader, 8_000));
    leader.former_leader_stopped(&lost, at(8_000));
    assert!(!grants_at(&mut leader, 10_500));
    assert!(grants_at(&mut leader, 10_700));
}

fn supporters() -> Vec<InstanceIncarnation> {
    ["i3", "i4", "i5", "i6"]
        .map(|name| instance(name, 1))
        .into()
}

/// Leader of term 2 whose predecessor named four supporters.
fn successor_of_supported_leader() -> KeyLeader {
    let mut record = first_record(&instance("i1", 1));
    record.supporters = supporters();
    let mut leader = KeyLeader::new(instance("i2", 1), timing());
    leader.adopt(record.clone(), 1.into(), at(1_000));
    leader.adopt(record.with_leader(instance("i2", 1)), 2.into(), at(4_000));
    leader
}

// Guards against keys of a silent server that stay without an owner for 12 s after its leader was
// lost too, although all other instances follow the next leader.
#[test]
fn lost_leader_has_stopped_once_too_few_of_its_supporters_are_left() {
    let mut leader = successor_of_supported_leader();
    for name in ["i3", "i4"] {
        leader.record_peer_term(&instance(name, 1), 2, None, at(4_300));
    }
    let whole_authority = at(4_000).after(AUTHORITY).after(max_validity());
    assert_eq!(leader.former_grants_until(), whole_authority);
    // A supporter that has restarted speaks for its earlier incarnation, which has ended.
    leader.record_peer_term(&instance("i5", 2), 2, None, at(4_400));
    let until = at(4_400).after(SUPPORT_END).after(max_validity());
    assert_eq!(leader.former_grants_until(), until);
}

#[test]
fn supporters_that_do_not_follow_yet_end_no_authority() {
    let mut leader = successor_of_supported_leader();
    for name in ["i3", "i4", "i5", "i6"] {
        leader.record_peer_term(&instance(name, 1), 1, Some(at(3_900)), at(4_300));
    }
    let until = leader.former_grants_until();
    assert_eq!(until, at(4_000).after(AUTHORITY).after(max_validity()));
}

/// Leader of term 1 that the store has confirmed at 1 s.
fn supported_leader() -> KeyLeader {
    let own = instance("i1", 1);
    let mut record = first_record(&own);
    record.supporters = supporters();
    let mut leader = KeyLeader::new(own, timing());
    leader.adopt(record, 1.into(), at(1_000));
    leader.confirm_leadership(at(1_000));
    leader
}

#[test]
fn leader_without_the_store_goes_on_while_half_of_its_supporters_follow() {
    let mut leader = supported_leader();
    assert!(leader.has_authority(at(1_900)));
    assert!(!leader.has_authority(at(2_100)));
    leader.record_peer_term(&instance("i3", 1), 1, Some(at(2_000)), at(2_100));
    assert!(!leader.has_authority(at(2_100)));
    leader.record_peer_term(&instance("i4", 1), 1, Some(at(2_000)), at(2_100));
    assert!(leader.has_authority(at(2_900)));
    assert!(!leader.has_authority(at(3_100)));
    leader.record_peer_term(&instance("i3", 1), 1, Some(at(13_000)), at(13_100));
    leader.record_peer_term(&instance("i4", 1), 1, Some(at(13_000)), at(13_100));
    assert!(!leader.has_authority(at(13_100)));
}

// Guards against a leader that counts the word of instances that its successor does not know of as
// its supporters: restarted ones, and those of a record that may not have been written.
#[test]
fn support_counts_from_the_named_incarnations_and_for_each_record_that_may_stand() {
    let mut leader = supported_leader();
    let follows = |leader: &mut KeyLeader, name: &str, incarnation| {
        leader.record_peer_term(&instance(name, incarnation), 1, Some(at(2_000)), at(2_100));
    };
    follows(&mut leader, "i3", 1);
    follows(&mut leader, "i4", 2);
    assert!(!leader.has_authority(at(2_100)));
    follows(&mut leader, "i4", 1);
    assert!(leader.has_authority(at(2_100)));
    let (record, _) = leader.record().unwrap();
    let mut next = record.clone();
    next.supporters = ["i5", "i6"].map(|name| instance(name, 1)).into();
    leader.begin_write(&next);
    assert!(!leader.has_authority(at(2_100)));
    follows(&mut leader, "i5", 1);
    assert!(leader.has_authority(at(2_100)));
    leader.adopt(next, 2.into(), at(2_200));
    assert!(leader.has_authority(at(2_200)));
}

// Guards against a build that drops the supporters it does not know of: its record names none, and
// none are assumed.
#[test]
fn record_of_a_build_without_supporters_is_read_and_needs_none() {
    let stored = serde_json::json!({
        "service": "s", "term": 3, "leader": ["i2", 1], "former": [["i1", 1]], "last_fence": 2,
        "servers": [["s1", 1]], "ranges": [[0, 65_535, 2, 0]],
    });
    let stored: StoredRecord = serde_json::from_value(stored).unwrap();
    let record = KeyRecord::try_from(stored).unwrap();
    assert!(record.supporters.is_empty());
    assert_eq!(record.former[0].leader, instance("i1", 1));
    assert!(record.former[0].supporters.is_empty());
}

#[test]
fn stored_record_keeps_the_supporters_of_each_leader() {
    let mut record = first_record(&instance("i1", 1));
    record.supporters = supporters();
    let mut record = record.with_leader(instance("i2", 1));
    record.supporters = vec![instance("i7", 1), instance("i8", 1)];
    let stored = serde_json::to_value(StoredRecord::from(&record)).unwrap();
    let stored: StoredRecord = serde_json::from_value(stored).unwrap();
    assert_eq!(KeyRecord::try_from(stored).unwrap(), record);
}
