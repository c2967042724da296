//! Receivers of heartbeats.

use crate::{
    heartbeat_targets,
    peer_heartbeat::{LeadershipStatus, PeerHeartbeat},
    prelude::*,
    test_node,
};

const SERVICE: &str = "s";

fn leadership(is_leader: bool) -> Vec<LeadershipStatus> {
    vec![LeadershipStatus {
        service: SERVICE.into(),
        term: 1,
        is_leader,
        confirmation_age: Duration::ZERO,
        leader_heard_at: None,
    }]
}

/// Number of receivers of a heartbeat of instance `a1`, one of 41, with these revisions, while it hears
/// a leader that has assigned `watchers`.
fn receivers(watchers: &[&str], revisions: [u64; KIND_COUNT]) -> usize {
    receivers_of_lagging(watchers, revisions, Duration::ZERO)
}

/// The same for an instance that has lagged behind others for `lag`.
fn receivers_of_lagging(watchers: &[&str], revisions: [u64; KIND_COUNT], lag: Duration) -> usize {
    let node = test_node::build();
    let now = node.now();
    let mut peers = PeerTable::default();
    peers.init("a1", "dc1", now);
    for number in 0..40_u16 {
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + number));
        let record = InstanceRecord {
            name: format!("p{number}"),
            incarnation: 1,
            address,
            feed_address: address,
            relay_address: None,
            data_centre: "dc1".into(),
            processor_share: 1.0,
        };
        peers.insert(record, 1.into(), now);
    }
    peers.apply_heartbeat(
        PeerHeartbeat {
            instance: "p0".into(),
            incarnation: 1,
            leaderships: leadership(true),
            watchers: watchers.iter().map(|name| (*name).into()).collect(),
            ..PeerHeartbeat::default()
        },
        now,
    );
    if !lag.is_zero() {
        peers.apply_heartbeat(
            PeerHeartbeat {
                instance: "p1".into(),
                incarnation: 1,
                revisions: revisions.map(|revision| StoreRevision::from(revision + 1)),
                ..PeerHeartbeat::default()
            },
            now,
        );
        peers.newer_source(revisions.map(StoreRevision::from), None, now.before(lag));
    }
    let leader = InstanceIncarnation {
        instance: "p0".into(),
        incarnation: 1,
    };
    let heartbeat = PeerHeartbeat {
        leaderships: leadership(false),
        revisions: revisions.map(StoreRevision::from),
        ..PeerHeartbeat::default()
    };
    let leaders = [Some((leader, now))];
    heartbeat_targets::targets(
        &node,
        &peers,
        &heartbeat,
        &leaders,
        [5.into(); KIND_COUNT],
        now,
    )
    .len()
}

// Guards against a server that gets requests 3,037 ms after the store has confirmed that it leaves: the
// leader was cut off from the store and had not noticed, and its watchers told only the leader.
#[test]
fn watcher_tells_all_instances_of_a_change_of_servers_itself() {
    assert_eq!(receivers(&["a1", "p3"], [6, 5, 5, 5]), 40);
    assert_eq!(receivers(&["a1", "p3"], [5, 6, 5, 5]), 40);
    assert_eq!(
        receivers(&["a1", "p3"], [5, 5, 6, 5]),
        1,
        "the leader tells of keys"
    );
    assert_eq!(receivers(&["a1", "p3"], [5, 5, 5, 6]), 40, "evacuations");
    assert_eq!(receivers(&["a1", "p3"], [5, 5, 5, 5]), 1);
    assert_eq!(receivers(&["p2", "p3"], [6, 5, 5, 5]), 1, "fed by others");
}

// Guards against the square of 300 heartbeats for each change of servers: instances that lagged behind
// watched the store for themselves, and told all others what they had learnt.
#[test]
fn instance_that_lags_behind_tells_its_leader_only() {
    let lag = Duration::from_secs(2);
    assert_eq!(receivers_of_lagging(&["p2", "p3"], [6, 5, 5, 5], lag), 1);
    assert_eq!(receivers_of_lagging(&["a1", "p3"], [6, 5, 5, 5], lag), 40);
}
