//! Mirrors of a store that may come back from an older copy: whatever arrives in which order, they
//! end with the store's objects.

use crate::{
    feed_request::FeedRequest,
    feed_wire::FeedReplyWire,
    mirror_delta::{DeltaOutcome, MirrorDelta},
    prelude::*,
    test_objects,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const KIND: ObjectKind = ObjectKind::Servers;
/// Number of different objects.
const NAMES: usize = 10;
/// Number of mirrors, which ask the store and each other.
const MIRRORS: usize = 3;

/// Store with the history of one kind.
struct RestoredStore {
    era: u64,
    history: Vec<ObjectEvent>,
}

/// What is on its way to a mirror.
enum LateAnswer {
    Update(StoreUpdate),
    Deltas(Vec<MirrorDelta>),
}

impl RestoredStore {
    /// Revision of the last change.
    fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.history.len() as u64)
    }

    fn change(&mut self, name: usize, is_removed: bool) {
        let number = self.history.len() as u64 + 1;
        let object = PlatformObject {
            name: format!("s{name}"),
            revision: StoreRevision::new(0, number),
            spec: serde_json::json!({ "era": self.era, "at": number }),
            status: serde_json::Value::Null,
        };
        self.history.push(ObjectEvent { object, is_removed });
    }

    /// Goes back by some changes. Without `has_eras` nothing tells so.
    fn restore(&mut self, changes: usize, has_eras: bool) {
        let kept = self.history.len().saturating_sub(changes);
        self.history.truncate(kept);
        self.era += u64::from(has_eras);
    }

    fn event(&self, event: &ObjectEvent) -> ObjectEvent {
        let revision = StoreRevision::new(self.era, event.object.revision.number);
        ObjectEvent {
            object: PlatformObject {
                revision,
                ..event.object.clone()
            },
            is_removed: event.is_removed,
        }
    }

    fn list(&self) -> StoreUpdate {
        let mut objects = IndexMap::new();
        for event in self.history.iter().map(|event| self.event(event)) {
            match event.is_removed {
                true => objects.shift_remove(&event.object.name),
                false => objects.insert(event.object.name.clone(), event.object),
            };
        }
        StoreUpdate::List(ObjectPage {
            objects: objects.into_values().collect(),
            next: None,
            revision: self.revision(),
        })
    }

    /// Changes after a revision, or all objects if the store does not have it.
    fn changes(&self, after: StoreRevision) -> StoreUpdate {
        if after == StoreRevision::ZERO || after.era != self.era || after > self.revision() {
            return self.list();
        }
        let later = self.history[after.number as usize..].iter();
        StoreUpdate::Changes(ObjectChanges {
            events: later.map(|event| self.event(event)).collect(),
            revision: self.revision(),
        })
    }
}

/// Deltas of a mirror for another one, encoded and decoded as on the wire.
fn deltas(from: &ObjectMirror, to: &ObjectMirror) -> LateAnswer {
    let deltas = test_objects::deltas(from, &FeedRequest::of_mirror(to, true));
    let frame = prost::Message::encode_to_vec(&FeedReplyWire::from(deltas));
    let wire = <FeedReplyWire as prost::Message>::decode(frame.as_slice()).unwrap();
    LateAnswer::Deltas(wire.try_into().unwrap())
}

fn deliver(mirror: &mut ObjectMirror, answer: LateAnswer) {
    match answer {
        LateAnswer::Update(update) => mirror.apply(KIND, &update),
        LateAnswer::Deltas(deltas) => {
            for delta in deltas {
                if let DeltaOutcome::Update(update) = mirror.take_over(delta) {
                    mirror.apply(KIND, &update);
                }
            }
        }
    }
}

/// Names, revisions and specs of all objects.
fn content(mirror: &ObjectMirror) -> Vec<(String, StoreRevision, String)> {
    let deltas = test_objects::deltas(mirror, &FeedRequest::default());
    let objects = deltas.iter().flat_map(|delta| &delta.changed);
    let mut content: Vec<_> = objects
        .map(|object| {
            let spec = object.spec.to_string();
            (object.name.clone(), object.revision, spec)
        })
        .collect();
    content.sort();
    content
}

/// Whether all mirrors end with the store's objects, after answers of two eras in any order.
fn ends_alike(seed: u64, has_eras: bool) -> bool {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = RestoredStore {
        era: u64::from(has_eras),
        history: Vec::new(),
    };
    let mut mirrors: [ObjectMirror; MIRRORS] = Default::default();
    let mut late: Vec<(usize, LateAnswer)> = Vec::new();
    let steps = 120;
    // Half of the stores are not restored.
    let restored_at = rng.random_range(20..2 * steps);
    for step in 0..steps {
        if step == restored_at {
            let lost = rng.random_range(0..20);
            store.restore(lost, has_eras);
        }
        let to = rng.random_range(0..MIRRORS);
        match rng.random_range(0..10) {
            0..4 => store.change(rng.random_range(0..NAMES), rng.random_bool(0.4)),
            4 => late.push((to, LateAnswer::Update(store.list()))),
            5 => {
                let after = mirrors[to].synced_revisions()[0];
                late.push((to, LateAnswer::Update(store.changes(after))));
            }
            6 => {
                let from = rng.random_range(0..MIRRORS);
                late.push((to, deltas(&mirrors[from], &mirrors[to])));
            }
            _ if late.is_empty() => {}
            _ => {
                let (to, answer) = late.swap_remove(rng.random_range(0..late.len()));
                deliver(&mut mirrors[to], answer);
            }
        }
    }
    // The first mirror learns all of the store, and the others of the first one.
    deliver(&mut mirrors[0], LateAnswer::Update(store.list()));
    for to in 1..MIRRORS {
        late.push((to, deltas(&mirrors[0], &mirrors[to])));
    }
    while !late.is_empty() {
        let (to, answer) = late.swap_remove(rng.random_range(0..late.len()));
        deliver(&mut mirrors[to], answer);
    }
    let mut expected = ObjectMirror::default();
    expected.apply(KIND, &store.list());
    let expected = content(&expected);
    mirrors.iter().all(|mirror| content(mirror) == expected)
}

#[test]
fn mirrors_end_with_the_objects_of_the_store() {
    let differing: Vec<u64> = (0..1_000).filter(|seed| !ends_alike(*seed, true)).collect();
    assert!(differing.is_empty(), "seeds {differing:?}");
}

#[test]
fn mirrors_without_eras_keep_what_the_store_has_lost() {
    assert!((0..100).any(|seed| !ends_alike(seed, false)));
}
