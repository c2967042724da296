//! Reply to instances that know nothing yet, encoded once for many of them.
//!
//! When all instances start at the same time, hundreds ask the few seeds for all objects.

use crate::{feed_wire::FeedReplyWire, prelude::*};

/// Encoded deltas with all objects of a mirror.
#[derive(Default)]
pub(crate) struct FullReply {
    encoded: Option<EncodedReply>,
}

struct EncodedReply {
    at: MonoTime,
    synced_revisions: [u64; 3],
    bytes: Bytes,
}

impl FullReply {
    /// Time for which an encoded reply is sent although objects have changed since: a receiver asks
    /// for what is newer.
    const MAX_AGE: Duration = Duration::from_millis(100);

    /// Returns the encoded deltas of a mirror for a receiver that knows no object, and whether they are
    /// those of the present mirror.
    pub(crate) fn encode(&mut self, mirror: &ObjectMirror, now: MonoTime) -> (Bytes, bool) {
        let synced_revisions = mirror.synced_revisions();
        let is_usable = |encoded: &EncodedReply| {
            let knows = encoded.synced_revisions.map(|revision| revision > 0);
            let has_all_kinds = knows == synced_revisions.map(|revision| revision > 0);
            has_all_kinds
                && (encoded.synced_revisions == synced_revisions
                    || now.since(encoded.at) < Self::MAX_AGE)
        };
        if let Some(encoded) = self.encoded.as_ref().filter(|encoded| is_usable(encoded)) {
            let is_current = encoded.synced_revisions == synced_revisions;
            return (encoded.bytes.clone(), is_current);
        }
        let wire = FeedReplyWire::from(mirror.deltas([0; 3], [0; 3]));
        let bytes = Bytes::from(prost::Message::encode_to_vec(&wire));
        self.encoded = Some(EncodedReply {
            at: now,
            synced_revisions,
            bytes: bytes.clone(),
        });
        (bytes, true)
    }
}
