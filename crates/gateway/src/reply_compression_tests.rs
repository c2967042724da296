//! Compressed replies.

use crate::{
    feed_replies::FeedReplies, feed_request::FeedRequest, feed_wire::FeedReplyWire,
    mirror_delta::MirrorDelta, prelude::*, reply_compression,
};

/// Mirror with the entries of 200 servers.
fn mirror() -> ObjectMirror {
    let object = |number: u64| PlatformObject {
        name: format!("i-{:010x}", number * 7_919_123),
        revision: number.into(),
        spec: serde_json::json!({ "service": "viewer", "zone": "dc1", "capacity": 3 }),
        status: serde_json::json!({ "state": "ready", "sequence": number }),
    };
    let mut mirror = ObjectMirror::default();
    let page = ObjectPage {
        objects: (1..=200).map(object).collect(),
        next: None,
        revision: 200.into(),
    };
    mirror.apply(ObjectKind::Servers, &StoreUpdate::List(page));
    mirror
}

fn reply(reads_compressed: bool) -> Bytes {
    let request = FeedRequest {
        reads_compressed,
        ..FeedRequest::default()
    };
    let (reply, _) = FeedReplies::default().encode(&mirror(), request, MonoTime(1));
    reply
}

fn objects(reply: Bytes) -> Vec<String> {
    let wire = <FeedReplyWire as prost::Message>::decode(reply).unwrap();
    let deltas = <Vec<MirrorDelta>>::try_from(wire).unwrap();
    let objects = deltas.iter().flat_map(|delta| &delta.changed);
    objects.map(|object| format!("{object:?}")).collect()
}

// Guards against instances that start together and wait for what narrow links carry, and against
// compressed replies to builds that read none.
#[test]
fn reply_is_compressed_for_those_who_read_it() {
    let (plain, compressed) = (reply(false), reply(true));
    assert!(
        compressed.len() * 5 < plain.len(),
        "{} of {} bytes",
        compressed.len(),
        plain.len()
    );
    assert_eq!(objects(plain), objects(compressed));
}

// Guards against an instance whose memory a short message fills.
#[test]
fn message_that_is_too_large_when_restored_is_rejected() {
    let message = vec![b' '; 100_000];
    let compressed = reply_compression::compress(&message).unwrap();
    let restored = |max_bytes| reply_compression::decompress(&compressed, max_bytes);
    assert_eq!(restored(100_000).unwrap(), message);
    assert!(restored(99_999).is_err());
    assert!(reply_compression::decompress(&compressed[..20], 100_000).is_err());
}

#[test]
fn short_message_is_not_compressed() {
    assert!(reply_compression::compress(&[b' '; 1_000]).is_none());
}
