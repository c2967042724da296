//! Grants of moved keys that could not be sent, because the new owner was not reachable.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use std::time::Duration;

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

// Guards against keys that stay without an owner for as long as their leader tries in vain to reach
// a new owner that has crashed, because each attempt counted as a grant that may be valid.
#[test]
fn attempts_without_a_connection_count_as_no_grant() {
    let own = InstanceIncarnation {
        instance: "i1".into(),
        incarnation: 1,
    };
    let crashed = ServerIncarnation {
        id: "s1".into(),
        born: 1,
    };
    let timing = LeaderTiming {
        grant_duration: Duration::from_secs(2),
        renewal_interval: Duration::from_millis(550),
        authority: Duration::from_secs(12),
        support_validity: Duration::from_secs(1),
        former_support: Duration::from_millis(1_050),
        former_authority: Duration::from_secs(12),
        retry_delay: Duration::from_millis(300),
    };
    let mut record = KeyRecord::new("s", own.clone());
    record.distribute(&[(crashed.clone(), 1.0)]);
    let fence = record.ranges[0].fence;
    let mut leader = KeyLeader::new(own, timing);
    leader.adopt(record, 1.into(), at(1_000));
    leader.confirm_leadership(at(1_000));
    let mut attempts = 0;
    for millis in (1_000..9_000).step_by(100) {
        for step in leader.due_move_steps(at(millis)) {
            if let MoveStep::Grant { range, .. } = step {
                attempts += 1;
                leader.finish_grant(&range, false, at(millis));
            }
        }
    }
    assert!(attempts > 10, "{attempts}");
    assert!(leader.has_no_grant(&crashed, fence, at(9_000)));
}
