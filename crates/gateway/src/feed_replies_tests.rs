//! Replies that are encoded once for many instances.

use crate::{
    feed_replies::FeedReplies, feed_request::FeedRequest, feed_wire::FeedReplyWire,
    mirror_delta::MirrorDelta, prelude::*,
};

/// Request of an instance that knows nothing.
const NEW: FeedRequest = FeedRequest {
    synced_revisions: [StoreRevision::ZERO; KIND_COUNT],
    latest_revisions: [StoreRevision::ZERO; KIND_COUNT],
    takes_evacuations: false,
    patch_base: StoreRevision::ZERO,
    reads_compressed: false,
};

const KINDS: [ObjectKind; 3] = [
    ObjectKind::Servers,
    ObjectKind::Configuration,
    ObjectKind::Records,
];

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// Lists `count` objects of a kind as of a revision.
fn list(mirror: &mut ObjectMirror, kind: ObjectKind, count: u64, revision: u64) {
    let objects = (1..=count).map(|number| PlatformObject {
        name: format!("o{number}"),
        revision: number.into(),
        spec: serde_json::json!({ "number": number }),
        status: serde_json::Value::Null,
    });
    let page = ObjectPage {
        objects: objects.collect(),
        next: None,
        revision: revision.into(),
    };
    mirror.apply(kind, &StoreUpdate::List(page));
}

fn objects(bytes: &Bytes) -> usize {
    let wire = <FeedReplyWire as prost::Message>::decode(bytes.clone()).unwrap();
    let deltas = Vec::<MirrorDelta>::try_from(wire).unwrap();
    deltas.iter().map(|delta| delta.changed.len()).sum()
}

// Guards against an instance that takes what it got for complete as of the reply, although the
// objects were encoded for another instance before a change.
#[test]
fn reply_that_was_encoded_before_a_change_is_told_from_a_current_one() {
    let mut mirror = ObjectMirror::default();
    for kind in KINDS {
        list(&mut mirror, kind, 10, 20);
    }
    let mut reply = FeedReplies::default();
    let (first, is_current) = reply.encode(&mirror, NEW, at(1_000));
    assert!(is_current);
    assert_eq!(objects(&first), 30);
    assert_eq!(reply.encode(&mirror, NEW, at(9_000)), (first.clone(), true));
    list(&mut mirror, ObjectKind::Servers, 11, 21);
    assert_eq!(reply.encode(&mirror, NEW, at(1_050)), (first, false));
    let (later, is_current) = reply.encode(&mirror, NEW, at(1_200));
    assert!(is_current);
    assert_eq!(objects(&later), 31);
}

#[test]
fn reply_without_a_kind_is_not_sent_once_that_kind_is_known() {
    let mut mirror = ObjectMirror::default();
    list(&mut mirror, ObjectKind::Servers, 10, 20);
    let mut reply = FeedReplies::default();
    assert_eq!(objects(&reply.encode(&mirror, NEW, at(1_000)).0), 10);
    list(&mut mirror, ObjectKind::Configuration, 1, 20);
    let (later, is_current) = reply.encode(&mirror, NEW, at(1_010));
    assert!(is_current);
    assert_eq!(objects(&later), 11);
}

#[test]
fn reply_to_an_instance_that_lags_has_what_changed_since_and_is_always_current() {
    let mut mirror = ObjectMirror::default();
    for kind in KINDS {
        list(&mut mirror, kind, 10, 20);
    }
    let mut replies = FeedReplies::default();
    let lagging = FeedRequest {
        synced_revisions: [8.into(), 20.into(), 20.into(), 0.into()],
        latest_revisions: [8.into(), 20.into(), 20.into(), 0.into()],
        ..FeedRequest::default()
    };
    let (first, _) = replies.encode(&mirror, lagging, at(1_000));
    assert_eq!(objects(&first), 2);
    assert_eq!(replies.encode(&mirror, lagging, at(1_010)), (first, true));
    list(&mut mirror, ObjectKind::Servers, 11, 21);
    let (later, is_current) = replies.encode(&mirror, lagging, at(1_020));
    assert!(is_current);
    assert_eq!(objects(&later), 3);
}

// Guards against a reply that lacks an object which came later than one of a higher revision, so that
// no revision tells of it.
#[test]
fn object_that_raises_no_revision_is_in_the_next_reply() {
    let mut mirror = ObjectMirror::default();
    for kind in KINDS {
        list(&mut mirror, kind, 10, 20);
    }
    let record = |name: &str, revision| PlatformObject {
        name: name.into(),
        revision,
        spec: serde_json::Value::Null,
        status: serde_json::Value::Null,
    };
    let lagging = FeedRequest {
        synced_revisions: [20.into(); KIND_COUNT],
        latest_revisions: [20.into(); KIND_COUNT],
        ..FeedRequest::default()
    };
    let mut replies = FeedReplies::default();
    mirror.insert(ObjectKind::Records, record("later", 30.into()));
    assert_eq!(objects(&replies.encode(&mirror, lagging, at(1_000)).0), 1);
    mirror.insert(ObjectKind::Records, record("earlier", 25.into()));
    assert_eq!(objects(&replies.encode(&mirror, lagging, at(1_010)).0), 2);
}
