//! Heartbeats that have more to tell than fits one datagram.

use crate::{
    heartbeat_content,
    heartbeat_wire::MAX_DATAGRAM_BYTES,
    peer_heartbeat::{
        ColdServer, GrantedRange, KnownLimit, LeadershipStatus, PeerHeartbeat, RecordUpdate,
    },
    peer_worker,
    prelude::*,
    server_notices, warmup_worker,
};

fn server(number: usize) -> ServerIncarnation {
    ServerIncarnation {
        id: format!("i-{number:010x}"),
        born: 1_700_000_000_000 + number as u64,
    }
}

/// Heartbeat of a leader of the services, with lists as long as the workers make them.
fn full_heartbeat(services: usize, instances: usize) -> PeerHeartbeat {
    let mut heartbeat = PeerHeartbeat {
        instance: "instance-000".into(),
        incarnation: 1_700_000_000_000,
        revisions: [1_000_001, 1_000_002, 1_000_003, 1_000_004].map(StoreRevision::from),
        sent_at: MonoTime(77_000_000),
        knowledge: Some(KnowledgeReport {
            age: Duration::from_millis(14),
            hops: 1,
        }),
        watchers: vec!["instance-001".into(), "instance-002".into()],
        isolated: (0..instances)
            .map(|number| format!("instance-{number:03}"))
            .collect(),
        leaving: (0..server_notices::MAX_LEAVING).map(server).collect(),
        ..PeerHeartbeat::default()
    };
    for service in (0..services).map(|number| format!("service-{number}")) {
        heartbeat.leaderships.push(LeadershipStatus {
            service: service.clone(),
            term: 4,
            is_leader: true,
            confirmation_age: Duration::from_millis(300),
            leader_heard_at: Some(MonoTime(u64::MAX)),
        });
        let moves = (0..peer_worker::MAX_RANGES).map(|number| RangeMove {
            first: number as u16 * 100,
            last: number as u16 * 100 + 99,
            owner: server(number),
            previous_released: true,
        });
        heartbeat.record_updates.push(RecordUpdate {
            service: service.clone(),
            base_revision: 1_000_000.into(),
            revision: 1_000_001.into(),
            delta: RecordDelta {
                moves: moves.collect(),
                ..RecordDelta::default()
            },
        });
        let ranges = (0..peer_worker::MAX_RANGES).map(|number| GrantedRange {
            service: service.clone(),
            first: number as u16 * 100,
            fence: 1_000,
        });
        heartbeat.granted_ranges.extend(ranges);
    }
    let limits = (0..heartbeat_content::MAX_LIMITS).map(|number| KnownLimit {
        server: server(number),
        report: LimitReport {
            per_second: Some(number as f64),
            age: Duration::from_millis(20),
        },
    });
    heartbeat.limits = limits.collect();
    let cold = (0..warmup_worker::MAX_COLD).map(|number| ColdServer {
        server: server(number),
        left: Duration::from_secs(8),
    });
    heartbeat.cold = cold.collect();
    let suspects = (0..peer_worker::MAX_SUSPECTS).map(|number| SuspectReport {
        identity: RequestIdentity(u128::MAX - number as u128),
        target: TargetHash(u64::MAX),
        is_keyed: true,
        server: IncarnationHash(u64::MAX),
        verdict: CrashVerdict::Answered,
    });
    heartbeat.suspects = suspects.collect();
    heartbeat
}

// Guards against a heartbeat that is longer than the receivers' buffers and so is lost whole, with
// the revisions, the age and the leader's sign of life.
#[test]
fn heartbeat_with_more_than_fits_keeps_what_must_arrive() {
    for (services, instances) in [(1, 12), (3, 12), (1, 300), (3, 300), (12, 300)] {
        let full = full_heartbeat(services, instances);
        let datagram = full.clone().encode();
        let length = datagram.len();
        println!("{services} services, {instances} instances: {length} bytes");
        assert!(length <= MAX_DATAGRAM_BYTES);
        let received = PeerHeartbeat::decode(&datagram).unwrap();
        assert_eq!(received.revisions, full.revisions);
        assert_eq!(received.knowledge, full.knowledge);
        assert_eq!(received.sent_at, full.sent_at);
        assert_eq!(received.leaderships, full.leaderships);
        assert_eq!(received.watchers, full.watchers);
        assert_eq!(received.leaving, full.leaving);
        assert!(full.isolated.starts_with(&received.isolated));
    }
}

#[test]
fn heartbeat_is_cut_no_more_than_needed() {
    let full = full_heartbeat(1, 12);
    let received = PeerHeartbeat::decode(&full.clone().encode()).unwrap();
    assert_eq!(received, full, "everything fits");
    let full = full_heartbeat(3, 12);
    let datagram = full.clone().encode();
    let received = PeerHeartbeat::decode(&datagram).unwrap();
    assert_eq!(received.isolated, full.isolated);
    assert_eq!(received.limits, full.limits);
    assert_eq!(received.cold, full.cold);
    assert_eq!(received.suspects, full.suspects);
    assert!(received.record_updates.len() < full.record_updates.len());
    assert!(full.record_updates.starts_with(&received.record_updates));
}
