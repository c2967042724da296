//! Frames of other instances, spoilt in every way: read or rejected, never a panic, and whatever is
//! read leaves sound tables.

use crate::{
    feed_wire::{AskWire, FeedAsk, ReplyWire},
    object_mirror::{DeltaNews, MirrorDelta},
    peer_beat::{DeltaBeat, GrantedBeat, LeadBeat, PaceBeat, PeerBeat, SampleBeat},
    prelude::*,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Spoilt frames of each kind.
const CASES: u64 = 4_000;

fn mark(id: &str) -> ServerIncarnation {
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
    record.distribute(&[(mark("s1"), 1.0), (mark("s2"), 2.0)]);
    for range in &mut record.ranges {
        range.state = RangeState::Settled;
    }
    record
}

fn beat() -> PeerBeat {
    let delta = RecordDelta {
        moves: vec![RangeMove {
            first: 100,
            last: 300,
            owner: mark("s2"),
            previous_released: false,
        }],
        settles: vec![(0, 1)],
        merges: vec![0],
        clears_former: true,
    };
    PeerBeat {
        instance: "p1".into(),
        incarnation: 1,
        is_stopping: false,
        yields: true,
        revisions: [10, 11, 12],
        heard: 3,
        store_lost: false,
        watchers: vec!["p2".into()],
        leads: vec![LeadBeat {
            service: "s".into(),
            term: 4,
            leads: true,
            confirmed_age: Duration::from_millis(300),
        }],
        deltas: vec![DeltaBeat {
            service: "s".into(),
            base: 7,
            revision: 8,
            delta,
        }],
        granted: vec![GrantedBeat {
            service: "s".into(),
            first: 100,
            fence: 3,
        }],
        samples: vec![SampleBeat {
            service: "s".into(),
            keys: vec![1, 2, 65_535],
            total: 9,
        }],
        paces: vec![PaceBeat {
            server: mark("s1"),
            service_time: 0.25,
            samples: 8,
        }],
    }
}

/// The frame with some bytes changed, cut off, put in or repeated.
fn spoilt(frame: &[u8], rng: &mut StdRng) -> Vec<u8> {
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
fn a_heartbeat_is_read_as_it_was_written() {
    let datagram = beat().encode();
    assert_eq!(PeerBeat::decode(&datagram), Some(beat()));
}

#[test]
fn spoilt_heartbeats_never_panic_and_leave_sound_records() {
    let datagram = beat().encode();
    let mut read = 0;
    for seed in 0..CASES {
        let mut rng = StdRng::seed_from_u64(seed);
        let Some(beat) = PeerBeat::decode(&spoilt(&datagram, &mut rng)) else {
            continue;
        };
        read += 1;
        for told in &beat.deltas {
            let after = told.delta.apply(&record());
            assert_eq!(
                after.invariant_violation(),
                None,
                "seed {seed}: {:?}",
                told.delta
            );
        }
        let mut table = PeerTable::default();
        table.init("me", "a", MonoTime(0));
        table.heard(beat, MonoTime(1_000));
    }
    assert!(read > CASES / 20, "{read} of {CASES} could be read");
}

#[test]
fn spoilt_objects_never_panic() {
    let mut mirror = ObjectMirror::default();
    let object = |name: &str, revision| PlatformObject {
        name: name.into(),
        revision,
        spec: serde_json::json!({ "address": "10.0.0.1:80" }),
        status: serde_json::Value::Null,
    };
    let page = ObjectPage {
        objects: vec![object("a", 3), object("b", 5)],
        has_more: false,
        revision: 6,
    };
    mirror.apply(ObjectKind::Servers, &StoreUpdate::List(page));
    let reply = ReplyWire::from(mirror.deltas([0; 3], [0; 3]));
    let frame = prost::Message::encode_to_vec(&reply);
    let mut whole = 0;
    for seed in 0..CASES {
        let mut rng = StdRng::seed_from_u64(seed);
        let bytes = spoilt(&frame, &mut rng);
        if let Ok(wire) = <AskWire as prost::Message>::decode(bytes.as_slice()) {
            let _ = FeedAsk::try_from(wire);
        }
        let Ok(wire) = <ReplyWire as prost::Message>::decode(bytes.as_slice()) else {
            continue;
        };
        let Ok(deltas) = <Vec<MirrorDelta>>::try_from(wire) else {
            continue;
        };
        for delta in deltas {
            let kind = delta.kind;
            let mut asker = ObjectMirror::default();
            if let DeltaNews::Whole(news) = asker.news_of(delta) {
                asker.apply(kind, &news);
                whole += 1;
            }
        }
    }
    assert!(whole > CASES / 50, "{whole} of {CASES} could be taken");
}

#[test]
fn a_move_whose_last_key_lies_before_its_first_changes_nothing() {
    let mut told = beat();
    told.deltas[0].delta = RecordDelta {
        moves: vec![RangeMove {
            first: 300,
            last: 100,
            owner: mark("s2"),
            previous_released: false,
        }],
        ..RecordDelta::default()
    };
    let read = PeerBeat::decode(&told.encode()).unwrap();
    let after = read.deltas[0].delta.apply(&record());
    assert_eq!(after, record());
}
