//! Configurations that instances pass on by their differences.

use crate::{
    feed_replies::FeedReplies,
    feed_request::FeedRequest,
    feed_wire::FeedReplyWire,
    mirror_delta::{DeltaOutcome, MirrorDelta},
    prelude::*,
    test_objects,
    wire_decoding_tests::{CASES, corrupt},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

const KIND: ObjectKind = ObjectKind::Configuration;

fn configuration(revision: u64, spec: &Value) -> PlatformObject {
    PlatformObject {
        name: ObjectKind::CONFIGURATION_NAME.into(),
        revision: revision.into(),
        spec: spec.clone(),
        status: Value::Null,
    }
}

/// Tells a mirror of a configuration as the store does.
fn configure(mirror: &mut ObjectMirror, revision: u64, spec: &Value) {
    let object = configuration(revision, spec);
    let update = match mirror.patch_base() == StoreRevision::ZERO {
        true => StoreUpdate::List(ObjectPage {
            objects: vec![object],
            next: None,
            revision: revision.into(),
        }),
        false => StoreUpdate::Changes(ObjectChanges {
            events: vec![ObjectEvent {
                object,
                is_removed: false,
            }],
            revision: revision.into(),
        }),
    };
    mirror.apply(KIND, &update);
}

/// Content with so many routes, one of which names the version.
fn spec(rng: &mut StdRng, routes: u64, version: u64) -> Value {
    let moved = rng.random_range(0..routes);
    let route = |number| {
        let service = match number == moved {
            true => format!("s{version}"),
            false => "viewer".into(),
        };
        json!({ "name": format!("r{number}"), "service": service, "timeout": 0.1 })
    };
    let routes: Vec<Value> = (version % 7..routes).map(route).collect();
    json!({ "version": version, "hosts": [{ "host": "h", "paths": routes }] })
}

/// Asks for updates and applies them. Returns the length of the reply, and whether it was complete.
fn ask(from: &ObjectMirror, to: &mut ObjectMirror, request: FeedRequest) -> (usize, bool) {
    let (reply, _) = FeedReplies::default().encode(from, request, MonoTime(1));
    let wire = <FeedReplyWire as prost::Message>::decode(reply.clone()).unwrap();
    for delta in <Vec<MirrorDelta>>::try_from(wire).unwrap() {
        match to.take_over(delta) {
            DeltaOutcome::Update(update) => to.apply(KIND, &update),
            DeltaOutcome::UpToDate => {}
            DeltaOutcome::Incomplete => return (reply.len(), false),
        }
    }
    (reply.len(), true)
}

fn known(mirror: &ObjectMirror) -> Option<(StoreRevision, String)> {
    let object = mirror.get(KIND, ObjectKind::CONFIGURATION_NAME)?;
    Some((object.revision, object.spec.to_string()))
}

// Guards against instances that end with different configurations, whichever versions each of them
// has passed over and whomever it asked.
#[test]
fn configurations_passed_on_by_differences_are_those_of_the_store() {
    for seed in 0..300 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut mirrors: Vec<ObjectMirror> = (0..4).map(|_| ObjectMirror::default()).collect();
        let mut revision = 10;
        for version in 0..40 {
            revision += rng.random_range(1..4);
            let spec = spec(rng, 60, version);
            // Two mirrors are told by the store, one of them not of all versions.
            configure(&mut mirrors[0], revision, &spec);
            if rng.random_bool(0.5) {
                configure(&mut mirrors[1], revision, &spec);
            }
            for _ in 0..rng.random_range(0..4) {
                let (from, to) = (rng.random_range(0..4), rng.random_range(1..4));
                if from == to {
                    continue;
                }
                let mut receiver = std::mem::take(&mut mirrors[to]);
                let request = FeedRequest::of_mirror(&receiver, true);
                let (_, is_complete) = ask(&mirrors[from], &mut receiver, request);
                assert!(is_complete, "seed {seed}");
                let asked = known(&mirrors[from]);
                assert!(known(&receiver) >= asked, "seed {seed}");
                mirrors[to] = receiver;
            }
        }
        for to in 1..4 {
            let mut receiver = std::mem::take(&mut mirrors[to]);
            let request = FeedRequest::of_mirror(&receiver, true);
            ask(&mirrors[0], &mut receiver, request);
            assert_eq!(known(&receiver), known(&mirrors[0]), "seed {seed}");
            mirrors[to] = receiver;
        }
    }
}

/// Two mirrors with one configuration of 1,000 routes, of which the first knows the next one too.
fn behind_by_one() -> [ObjectMirror; 2] {
    behind_by_one_of(1_000)
}

/// The same with a number of routes.
fn behind_by_one_of(routes: u64) -> [ObjectMirror; 2] {
    let rng = &mut StdRng::seed_from_u64(1);
    let (first, second) = (spec(rng, routes, 7), spec(rng, routes, 14));
    let mut mirrors = [ObjectMirror::default(), ObjectMirror::default()];
    mirrors
        .iter_mut()
        .for_each(|mirror| configure(mirror, 10, &first));
    configure(&mut mirrors[0], 12, &second);
    mirrors
}

// Guards against the whole configuration being sent for each change, and against differences that
// only the instances pass on which the store has told.
#[test]
fn change_is_passed_on_twice_by_its_difference() {
    let [source, mut first] = behind_by_one();
    let [_, mut second] = behind_by_one();
    let request = FeedRequest::of_mirror(&first, true);
    let (length, is_complete) = ask(&source, &mut first, request);
    assert!(is_complete && length < 500, "{length} bytes");
    let request = FeedRequest::of_mirror(&second, true);
    let (length, is_complete) = ask(&first, &mut second, request);
    assert!(is_complete && length < 500, "{length} bytes");
    assert_eq!(known(&second), known(&source));
}

// Guards against an instance that keeps a configuration which differs from the store's.
#[test]
fn differences_from_another_base_are_refused_and_the_whole_is_asked_for() {
    let [source, _] = behind_by_one();
    let mut receiver = ObjectMirror::default();
    let other = spec(&mut StdRng::seed_from_u64(2), 1_000, 7);
    configure(&mut receiver, 10, &other);
    let before = known(&receiver);
    let request = FeedRequest::of_mirror(&receiver, true);
    let (_, is_complete) = ask(&source, &mut receiver, request);
    assert!(!is_complete);
    assert_eq!(known(&receiver), before);
    let request = FeedRequest::of_mirror(&receiver, true);
    assert_eq!(request.patch_base, StoreRevision::ZERO);
    let (_, is_complete) = ask(&source, &mut receiver, request);
    assert!(is_complete);
    assert_eq!(known(&receiver), known(&source));
    assert_ne!(receiver.patch_base(), StoreRevision::ZERO);
}

// Guards against an instance of a build that takes no differences and is sent some.
#[test]
fn request_of_a_former_build_gets_the_whole() {
    let [source, mut receiver] = behind_by_one();
    let request = FeedRequest {
        patch_base: StoreRevision::ZERO,
        reads_compressed: false,
        ..FeedRequest::of_mirror(&receiver, true)
    };
    let (length, is_complete) = ask(&source, &mut receiver, request);
    assert!(is_complete && length > 10_000, "{length} bytes");
    assert_eq!(known(&receiver), known(&source));
}

// Guards against differences that fit nothing, since the store stated no era to their sender while the
// revisions beside them are taken for those of the receiver's era.
#[test]
fn differences_without_an_era_are_taken_for_those_of_the_receivers_era() {
    let [source, receiver] = behind_by_one();
    let request = FeedRequest::of_mirror(&receiver, true);
    let mut in_era = ObjectMirror::default();
    let mut object = receiver
        .object(KIND, ObjectKind::CONFIGURATION_NAME)
        .unwrap();
    object.revision.era = 3;
    let page = ObjectPage {
        revision: object.revision,
        objects: vec![object],
        next: None,
    };
    in_era.apply(KIND, &StoreUpdate::List(page));
    for mut delta in test_objects::deltas(&source, &request) {
        assert!(delta.changed.is_empty());
        delta.assume_era(3);
        match in_era.take_over(delta) {
            DeltaOutcome::Update(update) => in_era.apply(KIND, &update),
            DeltaOutcome::UpToDate | DeltaOutcome::Incomplete => panic!("no update"),
        }
    }
    let (revision, text) = known(&in_era).unwrap();
    assert_eq!(revision, StoreRevision::new(3, 12));
    assert_eq!(text, known(&source).unwrap().1);
}

// Guards against a panic, and against a configuration that nobody wrote, after damaged patches.
#[test]
fn corrupt_patch_leaves_a_configuration_of_the_store() {
    let [source, receiver] = behind_by_one_of(20);
    let request = FeedRequest::of_mirror(&receiver, true);
    let deltas = test_objects::deltas(&source, &request);
    assert!(deltas[0].changed.is_empty() && deltas[0].patched.len() == 1);
    let frame = prost::Message::encode_to_vec(&FeedReplyWire::from(deltas));
    let written = [&receiver, &source].map(|mirror| known(mirror).map(|(_, text)| text));
    let mut patched = 0;
    for seed in 0..CASES {
        let bytes = corrupt(&frame, &mut StdRng::seed_from_u64(seed));
        let Ok(wire) = <FeedReplyWire as prost::Message>::decode(bytes.as_slice()) else {
            continue;
        };
        let [_, mut receiver] = behind_by_one_of(20);
        for delta in <Vec<MirrorDelta>>::try_from(wire).unwrap_or_default() {
            if let DeltaOutcome::Update(update) = receiver.take_over(delta) {
                receiver.apply(KIND, &update);
            }
        }
        if let Some((_, text)) = known(&receiver) {
            let position = written
                .iter()
                .position(|known| known.as_ref() == Some(&text));
            assert!(position.is_some(), "seed {seed}: {text}");
            patched += u64::from(position == Some(1));
        }
    }
    assert!(patched > 0, "no patch fits");
}
