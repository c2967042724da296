//! Replies to instances that ask for updates, encoded once for many of them.
//!
//! After a change all instances ask the leader for the same, and hundreds that start at the same
//! time ask the few seeds for all objects.

use crate::{
    feed_wire::{FeedReplyWire, FeedRequest},
    prelude::*,
};
use std::collections::VecDeque;

/// The latest encoded deltas.
#[derive(Default)]
pub(crate) struct FeedReplies {
    replies: VecDeque<EncodedReply>,
}

struct EncodedReply {
    request: FeedRequest,
    at: MonoTime,
    synced_revisions: KindRevisions,
    version: u64,
    bytes: Bytes,
}

impl FeedReplies {
    /// Number of replies kept: instances may be at a few different revisions.
    const MAX_REPLIES: usize = 4;
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
        let synced_revisions = mirror.synced_revisions();
        let is_current = |reply: &EncodedReply| reply.version == mirror.version();
        let is_usable = |reply: &&EncodedReply| {
            let known = reply
                .synced_revisions
                .map(|revision| revision > StoreRevision::ZERO);
            let has_all_kinds =
                known == synced_revisions.map(|revision| revision > StoreRevision::ZERO);
            let is_young = now.since(reply.at) < Self::MAX_FULL_AGE;
            let is_full = request.synced_revisions == [StoreRevision::ZERO; KIND_COUNT];
            reply.request == request && (is_current(reply) || is_full && is_young && has_all_kinds)
        };
        if let Some(reply) = self.replies.iter().find(is_usable) {
            return (reply.bytes.clone(), is_current(reply));
        }
        let mut deltas = mirror.deltas(request.synced_revisions, request.latest_revisions);
        if !request.takes_evacuations {
            deltas.retain(|delta| delta.kind != ObjectKind::Evacuations);
        }
        let bytes = Bytes::from(prost::Message::encode_to_vec(&FeedReplyWire::from(deltas)));
        self.replies.retain(|reply| reply.request != request);
        self.replies.push_front(EncodedReply {
            request,
            at: now,
            synced_revisions,
            version: mirror.version(),
            bytes: bytes.clone(),
        });
        self.replies.truncate(Self::MAX_REPLIES);
        (bytes, true)
    }
}
