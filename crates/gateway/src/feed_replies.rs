//! Replies to instances that ask for updates, encoded once for many of them.
//!
//! After a change all instances ask the leader for the same, and hundreds that start at the same
//! time ask the few seeds for all objects. The objects of each kind are encoded by themselves, since
//! one kind may change while the others stay as they are.

use crate::{
    feed_request::FeedRequest,
    feed_wire::FeedReplyWire,
    object_mirror::{OBJECT_KINDS, position_of},
    prelude::*,
};
use bytes::BytesMut;
use std::collections::VecDeque;

/// The latest encoded deltas, by kind.
#[derive(Default)]
pub(crate) struct FeedReplies {
    kinds: [VecDeque<EncodedDelta>; KIND_COUNT],
}

/// What the delta of one kind depends on.
#[derive(Clone, Copy, PartialEq, Eq)]
struct DeltaKey {
    synced_revision: StoreRevision,
    latest_revision: StoreRevision,
    patch_base: StoreRevision,
    is_compressed: bool,
}

struct EncodedDelta {
    key: DeltaKey,
    at: MonoTime,
    /// Whether the kind was known.
    is_known: bool,
    version: u64,
    bytes: Bytes,
}

impl DeltaKey {
    fn new(kind: ObjectKind, request: &FeedRequest) -> Self {
        let position = position_of(kind);
        Self {
            synced_revision: request.synced_revisions[position],
            latest_revision: request.latest_revisions[position],
            patch_base: match kind {
                ObjectKind::Configuration => request.patch_base,
                _ => StoreRevision::ZERO,
            },
            is_compressed: request.reads_compressed,
        }
    }
}

impl FeedReplies {
    /// Number of deltas kept of a kind: instances may be at a few different revisions.
    const MAX_DELTAS: usize = 4;
    /// Time for which all objects are sent as they were encoded although some have changed since: a
    /// receiver asks for what is newer.
    const MAX_FULL_AGE: Duration = Duration::from_millis(100);

    /// Returns the encoded deltas of a mirror for a request, and whether they are those of the present
    /// mirror.
    pub(crate) fn encode(
        &mut self,
        mirror: &ObjectMirror,
        request: FeedRequest,
        now: MonoTime,
    ) -> (Bytes, bool) {
        let mut reply = BytesMut::new();
        let mut is_current = true;
        for kind in OBJECT_KINDS {
            if kind == ObjectKind::Evacuations && !request.takes_evacuations {
                continue;
            }
            let (bytes, is_latest) = self.encode_kind(mirror, kind, &request, now);
            // Encoded messages one after the other are one message with the fields of all.
            reply.extend_from_slice(&bytes);
            is_current &= is_latest;
        }
        (reply.freeze(), is_current)
    }

    fn encode_kind(
        &mut self,
        mirror: &ObjectMirror,
        kind: ObjectKind,
        request: &FeedRequest,
        now: MonoTime,
    ) -> (Bytes, bool) {
        let key = DeltaKey::new(kind, request);
        let version = mirror.version(kind);
        let is_known = mirror.synced_revisions()[position_of(kind)] > StoreRevision::ZERO;
        let is_full = request.synced_revisions == [StoreRevision::ZERO; KIND_COUNT];
        let deltas = &mut self.kinds[position_of(kind)];
        let is_usable = |delta: &&EncodedDelta| {
            let is_young = now.since(delta.at) < Self::MAX_FULL_AGE && delta.is_known == is_known;
            delta.key == key && (delta.version == version || is_full && is_young)
        };
        if let Some(delta) = deltas.iter().find(is_usable) {
            return (delta.bytes.clone(), delta.version == version);
        }
        let delta = mirror.delta(kind, request);
        let wire = FeedReplyWire::from(Vec::from_iter(delta));
        let bytes = wire.encode(key.is_compressed);
        deltas.retain(|delta| delta.key != key);
        deltas.push_front(EncodedDelta {
            key,
            at: now,
            is_known,
            version,
            bytes: bytes.clone(),
        });
        deltas.truncate(Self::MAX_DELTAS);
        (bytes, true)
    }
}
