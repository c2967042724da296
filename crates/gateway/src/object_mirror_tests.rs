//! Deltas between mirrors: applied by the receiver, they give it the same objects as the sender.

use crate::{
    feed_request::FeedRequest,
    feed_wire::FeedReplyWire,
    mirror_delta::{DeltaOutcome, MirrorDelta, RemainingObjects},
    prelude::*,
    test_objects,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const KIND: ObjectKind = ObjectKind::Servers;

fn object(name: usize, revision: u64) -> PlatformObject {
    PlatformObject {
        name: format!("s{name}"),
        revision: revision.into(),
        spec: serde_json::json!({ "at": revision }),
        status: serde_json::Value::Null,
    }
}

fn changes(revision: u64, events: Vec<(PlatformObject, bool)>) -> StoreUpdate {
    let events = events
        .into_iter()
        .map(|(object, is_removed)| ObjectEvent { object, is_removed })
        .collect();
    StoreUpdate::Changes(ObjectChanges {
        events,
        revision: revision.into(),
    })
}

/// Deltas from `from` for `to`, encoded and decoded as on the wire.
fn decoded_deltas(from: &ObjectMirror, to: &ObjectMirror) -> Vec<MirrorDelta> {
    let deltas = test_objects::deltas(from, &FeedRequest::of_mirror(to, true));
    let frame = prost::Message::encode_to_vec(&FeedReplyWire::from(deltas));
    let wire = <FeedReplyWire as prost::Message>::decode(frame.as_slice()).unwrap();
    wire.try_into().unwrap()
}

/// Names and revisions of all objects of a mirror.
fn content(mirror: &ObjectMirror) -> Vec<(String, StoreRevision)> {
    let deltas = test_objects::deltas(mirror, &FeedRequest::default());
    let mut content: Vec<(String, StoreRevision)> = deltas
        .iter()
        .flat_map(|delta| &delta.changed)
        .map(|object| (object.name.clone(), object.revision))
        .collect();
    content.sort();
    content
}

#[test]
fn mirror_after_random_changes_matches_source() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut source, mut receiver) = (ObjectMirror::default(), ObjectMirror::default());
        let mut revision = 10;
        let first = (0..8).map(|name| object(name, revision)).collect();
        source.apply(
            KIND,
            &StoreUpdate::List(ObjectPage {
                objects: first,
                next: None,
                revision: revision.into(),
            }),
        );
        for _ in 0..60 {
            revision += 1;
            let name = rng.random_range(0..12);
            let is_removed = rng.random_bool(0.4);
            source.apply(
                KIND,
                &changes(revision, vec![(object(name, revision), is_removed)]),
            );
            if !rng.random_bool(0.3) {
                continue;
            }
            for delta in decoded_deltas(&source, &receiver) {
                match receiver.update_from(delta) {
                    DeltaOutcome::Update(update) => receiver.apply(KIND, &update),
                    DeltaOutcome::UpToDate => {}
                    DeltaOutcome::Incomplete => panic!("seed {seed}: an incomplete delta"),
                }
            }
            assert_eq!(content(&receiver), content(&source), "seed {seed}");
        }
    }
}

#[test]
fn deltas_for_synced_receiver_list_removals_only() {
    let (mut source, mut receiver) = (ObjectMirror::default(), ObjectMirror::default());
    for mirror in [&mut source, &mut receiver] {
        mirror.apply(
            KIND,
            &StoreUpdate::List(ObjectPage {
                objects: (0..500).map(|name| object(name, 10)).collect(),
                next: None,
                revision: 10.into(),
            }),
        );
    }
    source.apply(KIND, &changes(11, vec![(object(3, 11), true)]));
    let deltas = decoded_deltas(&source, &receiver);
    let removed = vec![(11.into(), "s3".to_string())];
    assert_eq!(deltas[0].remaining, RemainingObjects::AllExcept(removed));
    assert!(deltas[0].changed.is_empty());
}

#[test]
fn inserted_object_is_not_replaced_by_older_revision() {
    let mut mirror = ObjectMirror::default();
    let list = |revision| {
        StoreUpdate::List(ObjectPage {
            objects: vec![object(1, 5)],
            next: None,
            revision,
        })
    };
    mirror.apply(KIND, &list(6.into()));
    mirror.insert(KIND, object(1, 9));
    mirror.apply(KIND, &changes(8, vec![(object(1, 8), false)]));
    assert_eq!(content(&mirror), [("s1".to_string(), 9.into())]);
    mirror.apply(KIND, &list(8.into()));
    assert_eq!(content(&mirror), [("s1".to_string(), 9.into())]);
}

/// Mirror that knows all changes up to `revision`, of which the last one was of the object 1.
fn synced_mirror(revision: u64) -> ObjectMirror {
    let mut mirror = ObjectMirror::default();
    mirror.apply(
        KIND,
        &StoreUpdate::List(ObjectPage {
            objects: vec![object(1, revision)],
            next: None,
            revision: revision.into(),
        }),
    );
    mirror
}

/// Asks `from` for its changes and takes them over as the feed does.
fn take_over(from: &ObjectMirror, to: &mut ObjectMirror) {
    for delta in decoded_deltas(from, to) {
        match to.take_over(delta) {
            DeltaOutcome::Update(update) => to.apply(KIND, &update),
            DeltaOutcome::UpToDate => {}
            DeltaOutcome::Incomplete => panic!("an incomplete delta"),
        }
    }
}

// Guards against a key record that was inserted from a heartbeat and is dropped by an instance that
// is synced further than the one that has it, which then counts it as known.
#[test]
fn object_beyond_the_synced_revision_of_its_sender_is_taken_over() {
    let mut sender = synced_mirror(10);
    sender.insert(KIND, object(2, 15));
    let mut receiver = synced_mirror(10);
    receiver.apply(KIND, &changes(12, Vec::new()));
    take_over(&sender, &mut receiver);
    assert_eq!(receiver.latest_revisions()[0], 15.into());
    assert_eq!(content(&receiver), content(&sender));
}

// Guards against a change that is hidden for good by a later one that came in a heartbeat: a record
// change that is too large for a heartbeat, followed by a small one, or an instance's record.
#[test]
fn change_before_an_inserted_object_is_still_fetched() {
    let mut receiver = synced_mirror(10);
    let mut source = synced_mirror(10);
    source.apply(KIND, &changes(11, vec![(object(3, 11), false)]));
    source.apply(KIND, &changes(12, vec![(object(2, 12), false)]));
    receiver.insert(KIND, object(2, 12));
    take_over(&source, &mut receiver);
    assert_eq!(content(&receiver), content(&source));
}

// Guards against a watch whose answer was held up while a check of the store told of later changes.
#[test]
fn late_answer_does_not_bring_back_a_removed_object() {
    let mut mirror = synced_mirror(10);
    let added = || (object(2, 11), false);
    mirror.apply(KIND, &changes(12, vec![added(), (object(2, 12), true)]));
    mirror.apply(KIND, &changes(11, vec![added()]));
    assert_eq!(content(&mirror), [("s1".to_string(), 10.into())]);
}

// Guards against a list of many pages that is overtaken by a watch: what is known to be complete
// must not go back.
#[test]
fn list_that_was_overtaken_does_not_bring_back_a_removed_object() {
    let mut mirror = synced_mirror(10);
    mirror.apply(KIND, &changes(12, vec![(object(1, 12), true)]));
    mirror.apply(
        KIND,
        &StoreUpdate::List(ObjectPage {
            objects: vec![object(1, 10)],
            next: None,
            revision: 11.into(),
        }),
    );
    assert_eq!(mirror.synced_revisions()[0], 12.into());
    assert!(content(&mirror).is_empty());
}

// Guards against an object of the earlier era that stays: the sender of the delta never knew it, and
// the restored store does not have it.
#[test]
fn delta_of_a_new_era_removes_what_its_sender_never_knew() {
    let in_era = |era, number| StoreRevision::new(era, number);
    let list = |objects: Vec<PlatformObject>, revision| {
        StoreUpdate::List(ObjectPage {
            objects,
            next: None,
            revision,
        })
    };
    let of_era = |era, name: usize, number| PlatformObject {
        revision: in_era(era, number),
        ..object(name, number)
    };
    let (mut source, mut receiver) = (ObjectMirror::default(), ObjectMirror::default());
    source.apply(KIND, &list(vec![of_era(1, 1, 5)], in_era(1, 10)));
    let known = vec![of_era(1, 1, 5), of_era(1, 2, 12)];
    receiver.apply(KIND, &list(known, in_era(1, 14)));
    source.apply(KIND, &list(vec![of_era(2, 1, 5)], in_era(2, 8)));
    for delta in decoded_deltas(&source, &receiver) {
        if let DeltaOutcome::Update(update) = receiver.take_over(delta) {
            receiver.apply(KIND, &update);
        }
    }
    assert_eq!(content(&receiver), content(&source));
    assert_eq!(receiver.synced_revisions(), source.synced_revisions());
}

// Guards against a server that has left and stays known: one instance never knew it, as it listed
// the objects later, and another one that did asks it for removals.
#[test]
fn object_that_came_and_went_before_a_list_is_removed_by_its_delta() {
    let (mut source, mut receiver) = (synced_mirror(10), synced_mirror(10));
    receiver.apply(KIND, &changes(12, vec![(object(2, 12), false)]));
    source.apply(
        KIND,
        &StoreUpdate::List(ObjectPage {
            objects: vec![object(1, 10)],
            next: None,
            revision: 14.into(),
        }),
    );
    take_over(&source, &mut receiver);
    assert_eq!(content(&receiver), content(&source));
}

// Guards against the same after so many removals that the record of an early one, which was told
// late, is dropped last.
#[test]
fn early_removal_that_was_told_late_is_no_sign_of_a_complete_record() {
    let (mut source, mut receiver) = (synced_mirror(40), synced_mirror(10));
    receiver.apply(KIND, &changes(35, vec![(object(2, 35), false)]));
    source.apply(KIND, &changes(33, vec![(object(3, 33), true)]));
    for revision in 41..41 + 1_024 {
        source.apply(KIND, &changes(revision, vec![(object(4, revision), true)]));
    }
    take_over(&source, &mut receiver);
    assert_eq!(content(&receiver), content(&source));
}

// Guards against objects that stay for ever at instances without a watch of their own, as an evacuation
// that has ended: the event of a removal may carry the revision of the object's last change.
#[test]
fn removal_with_the_revision_of_the_last_change_reaches_a_receiver_that_knows_later_ones() {
    let (mut source, mut receiver) = (synced_mirror(10), synced_mirror(10));
    let added = changes(11, vec![(object(2, 11), false)]);
    let later = changes(12, vec![(object(3, 12), false)]);
    for update in [&added, &later] {
        source.apply(KIND, update);
        receiver.apply(KIND, update);
    }
    source.apply(KIND, &changes(13, vec![(object(2, 11), true)]));
    take_over(&source, &mut receiver);
    assert_eq!(content(&receiver), content(&source));
}
