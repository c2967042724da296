//! Until when the leader of a service's keys waits for grants that its predecessors may have sent.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use std::time::Duration;

const AUTHORITY: Duration = Duration::from_secs(12);

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
    leader.adopt(record.clone(), 1, at(1_000));
    let record = record.with_leader(second.clone());
    leader.adopt(record.clone(), 2, at(4_000));
    let record = record.with_leader(third);
    leader.adopt(record, 3, at(26_000));
    leader.former_leader_stopped(&second, at(26_100));
    let until = leader.former_grants_until();
    assert!(until <= at(26_100).after(max_validity()), "{until:?}");
}

#[test]
fn leader_that_was_just_replaced_may_send_orders_for_its_whole_authority() {
    let (lost, second) = (instance("i1", 1), instance("i2", 1));
    let record = first_record(&lost);
    let mut leader = KeyLeader::new(second.clone(), timing());
    leader.adopt(record.clone(), 1, at(1_000));
    leader.adopt(record.with_leader(second), 2, at(4_000));
    let until = leader.former_grants_until();
    assert_eq!(until, at(4_000).after(AUTHORITY).after(max_validity()));
}

#[test]
fn instance_that_starts_knows_nothing_of_when_former_leaders_were_replaced() {
    let (lost, second, third) = (instance("i1", 1), instance("i2", 1), instance("i3", 2));
    let record = first_record(&lost).with_leader(second.clone());
    let mut leader = KeyLeader::new(third.clone(), timing());
    leader.adopt(record.with_leader(third), 3, at(30_000));
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
        leader.adopt(record.clone(), 1, at(1_000));
        let record = record.with_leader(second.clone());
        leader.adopt(record.clone(), 2, at(4_000));
        let record = record.with_leader(again.clone());
        if reads_each_term {
            leader.adopt(record.clone(), 3, at(18_000));
        }
        leader.adopt(record.with_leader(third.clone()), 4, at(20_000));
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
    leader.adopt(record.clone(), 1, at(1_000));
    let mut record = record.with_leader(own);
    for range in &mut record.ranges {
        range.state = RangeState::Settled;
    }
    leader.adopt(record.clone(), 2, at(4_000));
    leader.confirm_leadership(at(4_000));
    record.assign(moved.first, moved.last, &receiver, false);
    leader.adopt(record, 3, at(4_500));
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
