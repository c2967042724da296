//! Decoding of corrupt frames from other instances: a frame is decoded or rejected without a panic,
//! and a decoded one leaves the tables valid.

use crate::{
    feed_request::{FeedRequest, FeedRequestWire},
    feed_wire::FeedReplyWire,
    mirror_delta::{DeltaOutcome, MirrorDelta},
    peer_heartbeat::{
        ColdServer, GrantedRange, KeySamples, KnownLimit, KnownRest, LeadershipStatus,
        PeerHeartbeat, RecordUpdate, ServiceTimeReport,
    },
    prelude::*,
    quota_wire::{QuotaBody, QuotaMessage},
    test_objects,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Number of corrupt frames of each kind.
pub(crate) const CASES: u64 = 4_000;

fn incarnation(id: &str) -> ServerIncarnation {
    ServerIncarnation {
        id: id.into(),
        born: 1_700_000_000_000,
    }
}

fn record() -> KeyRecord {
    let leader = InstanceIncarnation {
        instance: "p1".into(),
        incarnation: 1,
    };
    let mut record = KeyRecord::new("s", leader);
    record.distribute(&[(incarnation("s1"), 1.0), (incarnation("s2"), 2.0)]);
    for range in &mut record.ranges {
        range.state = RangeState::Settled;
    }
    record
}

fn heartbeat() -> PeerHeartbeat {
    let delta = RecordDelta {
        moves: vec![RangeMove {
            first: 100,
            last: 300,
            owner: incarnation("s2"),
            previous_released: false,
        }],
        settles: vec![(0, 1)],
        raises: vec![0],
        merges: vec![0],
        clears_former: true,
        supporters: Some(vec![InstanceIncarnation {
            instance: "p4".into(),
            incarnation: 5,
        }]),
    };
    PeerHeartbeat {
        instance: "p1".into(),
        incarnation: 1,
        is_stopping: false,
        yields: true,
        revisions: [10.into(), 11.into(), 12.into(), 13.into()],
        era: Some(StoreEra {
            number: 4,
            stated: 2,
        }),
        sent_at: MonoTime(13),
        rests: vec![KnownRest {
            server: incarnation("s5"),
            left: Duration::from_millis(2_900),
        }],
        knowledge: Some(KnowledgeReport {
            age: Duration::from_millis(14),
            hops: 1,
        }),
        live_count: 3,
        store_lost: false,
        store_unstable: true,
        servers_lost: true,
        leaving: vec![incarnation("s4")],
        isolated: vec!["p3".into()],
        watchers: vec!["p2".into()],
        leaderships: vec![LeadershipStatus {
            service: "s".into(),
            term: 4,
            is_leader: true,
            confirmation_age: Duration::from_millis(300),
            leader_heard_at: Some(MonoTime(12)),
        }],
        record_updates: vec![RecordUpdate {
            service: "s".into(),
            base_revision: 7.into(),
            revision: 8.into(),
            delta,
        }],
        granted_ranges: vec![GrantedRange {
            service: "s".into(),
            first: 100,
            fence: 3,
        }],
        key_samples: vec![KeySamples {
            service: "s".into(),
            keys: vec![1, 2, 65_535],
            total: 9,
        }],
        service_times: vec![ServiceTimeReport {
            server: incarnation("s1"),
            service_time: 0.25,
            samples: 8,
        }],
        limits: vec![KnownLimit {
            server: incarnation("s1"),
            report: LimitReport {
                per_second: Some(4.2),
                age: Duration::from_millis(20),
            },
        }],
        cold: vec![ColdServer {
            server: incarnation("s6"),
            left: Duration::from_millis(7_400),
        }],
        suspects: vec![SuspectReport {
            identity: RequestIdentity(1 << 100),
            target: TargetHash(2),
            is_keyed: true,
            server: IncarnationHash(3),
            verdict: CrashVerdict::Answered,
        }],
    }
}

fn quota_message() -> QuotaMessage {
    QuotaMessage {
        sender: InstanceIncarnation {
            instance: "p1".into(),
            incarnation: 1,
        },
        server: incarnation("s1"),
        report: Some(LimitReport {
            per_second: None,
            age: Duration::from_millis(20),
        }),
        cold_left: Some(Duration::from_millis(7_300)),
        body: QuotaBody::Ask(QuotaAsk {
            number: 7,
            wanted: 2,
        }),
    }
}

/// Copy of the frame with some bytes changed, truncated, inserted or repeated.
pub(crate) fn corrupt(frame: &[u8], rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = frame.to_vec();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..bytes.len().max(1));
        match rng.random_range(0..4) {
            0 => bytes.truncate(at),
            1 => bytes.insert(at.min(bytes.len()), rng.random()),
            2 if !bytes.is_empty() => bytes[at] = rng.random(),
            _ => bytes.extend_from_within(at.min(bytes.len())..),
        }
    }
    bytes
}

#[test]
fn encoded_heartbeat_decodes_unchanged() {
    let datagram = heartbeat().encode();
    assert_eq!(PeerHeartbeat::decode(&datagram), Some(heartbeat()));
}

#[test]
fn encoded_quota_message_decodes_unchanged_and_is_no_ones_heartbeat() {
    let grant = QuotaMessage {
        body: QuotaBody::Grant(QuotaGrant {
            number: 7,
            tokens: 1,
            pause: Duration::from_millis(30),
        }),
        ..quota_message()
    };
    for message in [quota_message(), grant] {
        let datagram = message.clone().encode();
        assert_eq!(QuotaMessage::decode(&datagram), Some(message));
        let as_heartbeat = PeerHeartbeat::decode(&datagram);
        assert_eq!(as_heartbeat, Some(PeerHeartbeat::default()));
    }
    assert_eq!(QuotaMessage::decode(&heartbeat().encode()), None);
}

#[test]
fn corrupt_quota_message_never_yields_an_impossible_limit() {
    let datagram = quota_message().encode();
    for seed in 0..CASES {
        let mut rng = StdRng::seed_from_u64(seed);
        let message = QuotaMessage::decode(&corrupt(&datagram, &mut rng));
        let limit = message.and_then(|message| message.report?.per_second);
        assert!(
            limit.is_none_or(|limit| limit.is_finite() && limit >= 0.0),
            "seed {seed}: {limit:?}"
        );
    }
}

#[test]
fn corrupt_heartbeat_keeps_record_valid() {
    let datagram = heartbeat().encode();
    let mut decoded = 0;
    for seed in 0..CASES {
        let mut rng = StdRng::seed_from_u64(seed);
        let Some(heartbeat) = PeerHeartbeat::decode(&corrupt(&datagram, &mut rng)) else {
            continue;
        };
        decoded += 1;
        for update in &heartbeat.record_updates {
            let after = update.delta.apply(&record());
            assert_eq!(
                after.invariant_violation(),
                None,
                "seed {seed}: {:?}",
                update.delta
            );
        }
        let mut table = PeerTable::default();
        table.init("me", "a", MonoTime(0));
        table.apply_heartbeat(heartbeat, MonoTime(1_000));
    }
    assert!(
        decoded > CASES / 20,
        "{decoded} of {CASES} heartbeats could be decoded"
    );
}

#[test]
fn corrupt_feed_frame_never_panics() {
    let mut mirror = ObjectMirror::default();
    let object = |name: &str, revision| PlatformObject {
        name: name.into(),
        revision,
        spec: serde_json::json!({ "address": "10.0.0.1:80" }),
        status: serde_json::Value::Null,
    };
    let page = ObjectPage {
        objects: vec![object("a", 3.into()), object("b", 5.into())],
        next: None,
        revision: 6.into(),
    };
    mirror.apply(ObjectKind::Servers, &StoreUpdate::List(page));
    let reply = FeedReplyWire::from(test_objects::deltas(&mirror, &FeedRequest::default()));
    let frame = prost::Message::encode_to_vec(&reply);
    let mut applied = 0;
    for seed in 0..CASES {
        let mut rng = StdRng::seed_from_u64(seed);
        let bytes = corrupt(&frame, &mut rng);
        if let Ok(wire) = <FeedRequestWire as prost::Message>::decode(bytes.as_slice()) {
            let _ = FeedRequest::try_from(wire);
        }
        let Ok(wire) = <FeedReplyWire as prost::Message>::decode(bytes.as_slice()) else {
            continue;
        };
        let Ok(deltas) = <Vec<MirrorDelta>>::try_from(wire) else {
            continue;
        };
        for delta in deltas {
            let kind = delta.kind;
            let mut receiver = ObjectMirror::default();
            if let DeltaOutcome::Update(update) = receiver.update_from(delta) {
                receiver.apply(kind, &update);
                applied += 1;
            }
        }
    }
    assert!(
        applied > CASES / 50,
        "{applied} of {CASES} deltas could be applied"
    );
}

#[test]
fn record_delta_with_inverted_range_changes_nothing() {
    let mut heartbeat = heartbeat();
    heartbeat.record_updates[0].delta = RecordDelta {
        moves: vec![RangeMove {
            first: 300,
            last: 100,
            owner: incarnation("s2"),
            previous_released: false,
        }],
        ..RecordDelta::default()
    };
    let decoded = PeerHeartbeat::decode(&heartbeat.encode()).unwrap();
    let after = decoded.record_updates[0].delta.apply(&record());
    assert_eq!(after, record());
}
