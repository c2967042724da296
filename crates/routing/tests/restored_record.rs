//! What an instance takes over of key records after a restore of the store, and what it writes then.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use std::time::Duration;

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

fn instance(name: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: name.into(),
        incarnation: 1,
    }
}

fn server(id: &str) -> ServerIncarnation {
    ServerIncarnation {
        id: id.into(),
        born: 1,
    }
}

fn leader_of(name: &str) -> KeyLeader {
    let timing = LeaderTiming {
        grant_duration: Duration::from_secs(2),
        renewal_interval: Duration::from_millis(550),
        authority: Duration::from_secs(12),
        support_validity: Duration::from_secs(1),
        former_support: Duration::from_millis(1_050),
        former_authority: Duration::from_secs(12),
        retry_delay: Duration::from_millis(100),
    };
    KeyLeader::new(instance(name), timing)
}

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(era, number)
}

/// Record of `i1` with all keys at `s1` and `s2`, written in an era.
fn settled_record(era: Option<u64>) -> KeyRecord {
    let mut record = KeyRecord::new("s", instance("i1"));
    record.distribute(&[(server("s1"), 1.0), (server("s2"), 1.0)]);
    for range in &mut record.ranges {
        range.state = RangeState::Settled;
    }
    record.era = era;
    record
}

/// `i1`, which leads by a record of the first era.
fn confirmed_leader() -> KeyLeader {
    let mut leader = leader_of("i1");
    leader.adopt(settled_record(Some(1)), revision(1, 40), at(1_000));
    leader.confirm_leadership(at(1_000));
    leader
}

/// Names of the other instances.
fn others() -> Vec<String> {
    vec!["i2".into(), "i3".into()]
}

// Guards against a restored copy that replaces what an instance knows, since its revision is of a
// later era.
#[test]
fn restored_copy_replaces_no_known_record() {
    for era in [Some(1), None] {
        let mut leader = leader_of("i2");
        let known = settled_record(era).with_leader(instance("i3"));
        assert!(leader.adopt(known.clone(), revision(1, 41), at(1_000)));
        assert!(!leader.adopt(settled_record(era), revision(2, 7), at(2_000)));
        assert_eq!(leader.record(), Some((&known, revision(1, 41))));
        assert!(leader.needs_restore());
    }
}

// Guards against an instance that waits for a higher term: the record that its leader has written
// again is in force, whatever the term.
#[test]
fn record_of_the_present_era_replaces_any_of_earlier_ones() {
    let mut leader = leader_of("i2");
    let known = settled_record(Some(1)).with_leader(instance("i3"));
    leader.adopt(known, revision(1, 41), at(1_000));
    assert!(leader.adopt(settled_record(Some(2)), revision(2, 8), at(2_000)));
    assert!(!leader.needs_restore());
}

// Guards against a late write of an earlier era that is taken for a change of the present one.
#[test]
fn late_write_of_an_earlier_era_is_not_adopted_and_is_written_over() {
    let mut leader = confirmed_leader();
    leader.adopt(settled_record(Some(2)), revision(2, 8), at(2_000));
    leader.confirm_leadership(at(2_000));
    let late = settled_record(Some(1)).with_leader(instance("i3"));
    assert!(!leader.adopt(late, revision(2, 9), at(2_100)));
    assert!(leader.is_leader() && leader.needs_restore());
    leader.confirm_leadership(at(2_200));
    assert_eq!(
        leader.confirmation_age(at(2_300)),
        Duration::from_millis(300)
    );
    // A report of before may be that of an instance that has taken over since.
    for (heard_at, step) in [
        (3_000, RestoreStep::Wait),
        (
            3_200,
            RestoreStep::Rewrite {
                raises_fences: true,
            },
        ),
    ] {
        for name in ["i2", "i3"] {
            let peer = instance(name);
            leader.record_peer_report(&peer, 2, 1, Some(at(heard_at)), at(heard_at));
        }
        assert_eq!(leader.restore_step(&others(), at(6_500)), step);
    }
}

// Guards against an instance without memory that follows a restored copy as a confirmed leader.
#[test]
fn restored_copy_is_adopted_without_memory_but_confirms_nobody() {
    let mut leader = leader_of("i1");
    assert!(leader.adopt(settled_record(Some(1)), revision(2, 7), at(1_000)));
    leader.confirm_leadership(at(1_000));
    assert!(leader.is_leader() && !leader.has_authority(at(1_001)));
}

// Guards against an answer of an earlier era that makes an instance leader although it has told others
// that it knows no such term.
#[test]
fn record_of_an_earlier_era_is_not_adopted_once_the_next_is_known() {
    let mut leader = leader_of("i2");
    leader.adopt(settled_record(Some(1)), revision(1, 41), at(1_000));
    leader.learn_era(2);
    let takeover = settled_record(Some(1)).with_leader(instance("i2"));
    assert!(!leader.adopt(takeover, revision(1, 42), at(2_000)));
    assert!(!leader.is_leader());
}

// Guards against keys without an owner: the leader renews under the same fences before and after it
// writes its record again.
#[test]
fn leader_that_all_others_follow_writes_its_record_again_and_renews_throughout() {
    let mut leader = confirmed_leader();
    for name in ["i2", "i3"] {
        leader.record_peer_report(&instance(name), 1, 1, None, at(1_100));
    }
    assert!(!leader.adopt(settled_record(Some(1)), revision(2, 7), at(1_500)));
    assert_eq!(leader.restore_step(&others(), at(1_500)), RestoreStep::Wait);
    assert_eq!(leader.due_renewals(at(1_500)).len(), 2);
    for name in ["i2", "i3"] {
        leader.record_peer_report(&instance(name), 2, 1, None, at(1_600));
    }
    let step = leader.restore_step(&others(), at(1_600));
    let raises_fences = false;
    assert_eq!(step, RestoreStep::Rewrite { raises_fences });
    let stored = settled_record(Some(1));
    let mut record = leader.rewritten_record(Some(&stored), false).unwrap();
    assert_eq!(record.ranges, stored.ranges);
    assert!(record.last_fence >= stored.last_fence + KeyRecord::LOST_FENCES);
    record.era = Some(2);
    assert!(leader.adopt(record, revision(2, 8), at(1_700)));
    assert!(!leader.needs_restore());
    assert_eq!(leader.due_renewals(at(1_700)).len(), 2);
}

// Guards against a leader whose successor was lost with the store's last changes.
#[test]
fn leader_leaves_the_record_to_a_later_one_that_others_know() {
    let mut leader = confirmed_leader();
    leader.learn_era(2);
    leader.record_peer_report(&instance("i2"), 2, 1, None, at(1_600));
    leader.record_peer_report(&instance("i3"), 2, 2, None, at(1_600));
    assert_eq!(leader.restore_step(&others(), at(5_000)), RestoreStep::Wait);
    assert_eq!(
        leader.restore_step(&others(), at(13_100)),
        RestoreStep::TakeOver
    );
}

// Guards against an instance that has restarted: the one before may have led and moved keys.
#[test]
fn fences_are_raised_above_those_of_instances_that_have_restarted() {
    let mut leader = confirmed_leader();
    for name in ["i2", "i3"] {
        leader.record_peer_report(&instance(name), 1, 1, None, at(1_100));
    }
    leader.learn_era(2);
    leader.record_peer_report(&instance("i2"), 2, 1, None, at(1_200));
    let restarted = InstanceIncarnation {
        incarnation: 2,
        ..instance("i3")
    };
    leader.record_peer_report(&restarted, 2, 0, None, at(1_200));
    assert_eq!(leader.restore_step(&others(), at(1_900)), RestoreStep::Wait);
    let raises_fences = true;
    assert_eq!(
        leader.restore_step(&others(), at(3_800)),
        RestoreStep::Rewrite { raises_fences }
    );
    let record = leader.rewritten_record(None, raises_fences).unwrap();
    let is_raised = |range: &KeyRange| range.is_settled() && range.fence > KeyRecord::LOST_FENCES;
    assert!(record.ranges.iter().all(is_raised));
}

// Guards against moves that the store has lost: whoever takes over knows no holder, and waits until all
// grants have expired, also after another takeover.
#[test]
fn takeover_of_a_restored_copy_waits_for_unknown_holders() {
    let mut leader = leader_of("i2");
    let mut known = settled_record(Some(1));
    known.supporters = vec![instance("i3"), instance("i4")];
    leader.adopt(known, revision(1, 41), at(1_000));
    leader.learn_era(2);
    let mut record = leader.takeover_record("s", Some(&settled_record(Some(1))));
    record.era = Some(2);
    assert!(record.term > KeyRecord::LOST_TERMS);
    let leaders = record.former.iter().map(|former| &former.leader);
    assert!(leaders.eq([&instance("i1"), &InstanceIncarnation::unknown()]));
    // The leader may have had other supporters since.
    assert!(
        record
            .former
            .iter()
            .all(|former| former.supporters.is_empty())
    );
    let mut next = record.with_leader(instance("i3"));
    next.former.clear();
    for (name, record, expiry) in [("i2", record, 14_590), ("i3", next, 2_590)] {
        let mut leader = leader_of(name);
        leader.adopt(settled_record(Some(1)), revision(1, 41), at(1_000));
        leader.mark_dead(&ServerIncarnation::unknown());
        leader.adopt(record, revision(2, 8), at(2_000));
        for ms in (2_000..2_000 + expiry).step_by(100) {
            leader.confirm_leadership(at(ms));
            assert_eq!(leader.due_move_steps(at(ms)), [], "{name} at {ms}");
        }
        let steps = leader.due_move_steps(at(2_000 + expiry + 10));
        assert_eq!(steps.len(), 2, "{name}");
        let is_grant = |step: &MoveStep| matches!(step, MoveStep::Grant { .. });
        assert!(steps.iter().all(is_grant));
    }
}

// Guards against fences that are given out again since a copy is older than the restore before.
#[test]
fn fences_and_terms_are_raised_for_each_era_since_the_record() {
    let mut leader = leader_of("i2");
    leader.adopt(settled_record(Some(1)), revision(1, 41), at(1_000));
    leader.learn_era(5);
    let record = leader.takeover_record("s", Some(&settled_record(Some(1))));
    assert!(record.last_fence > 4 * KeyRecord::LOST_FENCES);
    assert!(record.term > 4 * KeyRecord::LOST_TERMS);
}

// Guards against a restore that costs more than it must: nobody leads by a lost takeover once all
// instances follow.
#[test]
fn unknown_leader_has_ended_once_all_others_follow() {
    let mut leader = leader_of("i2");
    leader.learn_era(2);
    let mut record = leader.takeover_record("s", None);
    assert!(record.last_fence >= KeyRecord::LOST_FENCES);
    record.era = Some(2);
    record.distribute(&[(server("s1"), 1.0)]);
    let term = record.term;
    leader.adopt(record, revision(2, 8), at(2_000));
    leader.confirm_leadership(at(2_000));
    let others = others();
    leader.record_peer_report(&instance("i1"), 2, term, None, at(2_100));
    leader.record_peer_report(&instance("i3"), 1, term, None, at(2_100));
    let others: Vec<String> = [vec!["i1".into()], others[1..].to_vec()].concat();
    leader.end_unknown_leader(&others, at(2_200));
    assert_eq!(leader.active_former_leaders(at(2_200)).len(), 1);
    leader.record_peer_report(&instance("i3"), 2, term, None, at(2_300));
    leader.end_unknown_leader(&others, at(2_300));
    assert_eq!(leader.active_former_leaders(at(2_300)), []);
    assert_eq!(leader.due_move_steps(at(4_580)), []);
    assert_eq!(leader.due_move_steps(at(4_900)).len(), 1);
}

// Guards against records that builds before eras cannot read, or whose records this one cannot.
#[test]
fn stored_record_tells_its_era_only_if_it_has_one() {
    for era in [None, Some(3)] {
        let mut record = settled_record(era);
        record.ranges[0].state = RangeState::Moving {
            previous: Some(ServerIncarnation::unknown()),
        };
        let value = serde_json::to_value(StoredRecord::from(&record)).unwrap();
        assert_eq!(value.get("era").is_some(), era.is_some());
        let stored: StoredRecord = serde_json::from_value(value).unwrap();
        assert_eq!(KeyRecord::try_from(stored), Ok(record));
    }
}
