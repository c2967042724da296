//! Handing objects on: what one instance tells another makes the same objects there.

use crate::{
    feed_wire::ReplyWire,
    object_mirror::{DeltaNews, DeltaRest, MirrorDelta},
    prelude::*,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const KIND: ObjectKind = ObjectKind::Servers;

fn object(name: usize, revision: u64) -> PlatformObject {
    PlatformObject {
        name: format!("s{name}"),
        revision,
        spec: serde_json::json!({ "at": revision }),
        status: serde_json::Value::Null,
    }
}

fn changes(revision: u64, events: Vec<(PlatformObject, bool)>) -> StoreUpdate {
    let events = events
        .into_iter()
        .map(|(object, is_removed)| ObjectEvent { object, is_removed })
        .collect();
    StoreUpdate::Changes(ObjectChanges { events, revision })
}

/// What `from` tells `to`, over the wire.
fn told(from: &ObjectMirror, to: &ObjectMirror) -> Vec<MirrorDelta> {
    let deltas = from.deltas(to.complete(), to.newest());
    let frame = prost::Message::encode_to_vec(&ReplyWire::from(deltas));
    let wire = <ReplyWire as prost::Message>::decode(frame.as_slice()).unwrap();
    wire.try_into().unwrap()
}

/// Names and revisions of all objects of a mirror.
fn content(mirror: &ObjectMirror) -> Vec<(String, u64)> {
    let deltas = mirror.deltas([0; 3], [0; 3]);
    let mut content: Vec<(String, u64)> = deltas
        .iter()
        .flat_map(|delta| &delta.changed)
        .map(|object| (object.name.clone(), object.revision))
        .collect();
    content.sort();
    content
}

#[test]
fn an_instance_that_asks_now_and_then_has_the_same_objects_after_it() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut teller, mut asker) = (ObjectMirror::default(), ObjectMirror::default());
        let mut revision = 10;
        let first = (0..8).map(|name| object(name, revision)).collect();
        teller.apply(
            KIND,
            &StoreUpdate::List(ObjectPage {
                objects: first,
                has_more: false,
                revision,
            }),
        );
        for _ in 0..60 {
            revision += 1;
            let name = rng.random_range(0..12);
            let is_removed = rng.random_bool(0.4);
            teller.apply(
                KIND,
                &changes(revision, vec![(object(name, revision), is_removed)]),
            );
            if !rng.random_bool(0.3) {
                continue;
            }
            for delta in told(&teller, &asker) {
                match asker.news_of(delta) {
                    DeltaNews::Whole(news) => asker.apply(KIND, &news),
                    DeltaNews::Known => {}
                    DeltaNews::Partial => panic!("seed {seed}: a partial delta"),
                }
            }
            assert_eq!(content(&asker), content(&teller), "seed {seed}");
        }
    }
}

#[test]
fn one_that_knows_most_is_told_removals_and_not_all_names() {
    let (mut teller, mut asker) = (ObjectMirror::default(), ObjectMirror::default());
    for mirror in [&mut teller, &mut asker] {
        mirror.apply(
            KIND,
            &StoreUpdate::List(ObjectPage {
                objects: (0..500).map(|name| object(name, 10)).collect(),
                has_more: false,
                revision: 10,
            }),
        );
    }
    teller.apply(KIND, &changes(11, vec![(object(3, 11), true)]));
    let deltas = told(&teller, &asker);
    let removed = vec![(11, "s3".to_string())];
    assert_eq!(deltas[0].rest, DeltaRest::Without(removed));
    assert!(deltas[0].changed.is_empty());
}

#[test]
fn an_object_that_was_told_of_early_is_not_replaced_by_an_older_one() {
    let mut mirror = ObjectMirror::default();
    let list = |revision| {
        StoreUpdate::List(ObjectPage {
            objects: vec![object(1, 5)],
            has_more: false,
            revision,
        })
    };
    mirror.apply(KIND, &list(6));
    mirror.put(KIND, object(1, 9));
    mirror.apply(KIND, &changes(8, vec![(object(1, 8), false)]));
    assert_eq!(content(&mirror), [("s1".to_string(), 9)]);
    mirror.apply(KIND, &list(8));
    assert_eq!(content(&mirror), [("s1".to_string(), 9)]);
}
