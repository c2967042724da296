//! Replies of the feed between instances, as protobuf messages.

use crate::{
    era_wire::EraWire,
    feed_codec::MAX_REPLY_BYTES,
    knowledge_wire::KnowledgeWire,
    mirror_delta::{MirrorDelta, RemainingObjects},
    object_mirror::{OBJECT_KINDS, position_of},
    patch_history::PatchedObject,
    patch_wire::PatchedObjectWire,
    prelude::*,
    reply_compression,
};
use std::io;

#[derive(prost::Message)]
pub(crate) struct FeedReplyWire {
    #[prost(message, repeated, tag = "1")]
    deltas: Vec<MirrorDeltaWire>,
    #[prost(message, optional, tag = "2")]
    pub(crate) knowledge: Option<KnowledgeWire>,
    /// Era that the sender knows; missing from builds that know of none.
    #[prost(message, optional, tag = "3")]
    pub(crate) era: Option<EraWire>,
    /// Whether the sender's knowledge includes the evacuations. The bytes of the tag do not occur in
    /// the objects' text, so that fewer damaged frames are rejected as a whole.
    #[prost(bool, tag = "16")]
    pub(crate) knows_evacuations: bool,
    /// Compressed messages of this type, whose fields belong to this one.
    #[prost(bytes = "bytes", repeated, tag = "17")]
    pub(crate) compressed: Vec<Bytes>,
}

#[derive(prost::Message)]
struct MirrorDeltaWire {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint64, tag = "2")]
    synced_revision: u64,
    #[prost(uint64, tag = "3")]
    latest_revision: u64,
    #[prost(string, repeated, tag = "4")]
    names: Vec<String>,
    #[prost(message, repeated, tag = "5")]
    changed: Vec<ObjectWire>,
    /// Whether `removed` lists the removed objects; otherwise `names` lists all remaining ones.
    #[prost(bool, tag = "6")]
    is_partial: bool,
    #[prost(message, repeated, tag = "7")]
    removed: Vec<RemovedObjectWire>,
    #[prost(uint64, tag = "8")]
    synced_era: u64,
    #[prost(uint64, tag = "9")]
    latest_era: u64,
    #[prost(message, repeated, tag = "10")]
    patched: Vec<PatchedObjectWire>,
}

#[derive(prost::Message)]
struct RemovedObjectWire {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(uint64, tag = "3")]
    era: u64,
}

impl MirrorDeltaWire {
    fn set_remaining(&mut self, remaining: RemainingObjects) {
        match remaining {
            RemainingObjects::Listed(names) => self.names = names,
            RemainingObjects::AllExcept(removed) => {
                self.is_partial = true;
                let wires = removed
                    .into_iter()
                    .map(|(revision, name)| RemovedObjectWire {
                        revision: revision.number,
                        era: revision.era,
                        name,
                    });
                self.removed = wires.collect();
            }
        }
    }

    fn take_remaining(&mut self) -> RemainingObjects {
        match self.is_partial {
            false => RemainingObjects::Listed(std::mem::take(&mut self.names)),
            true => RemainingObjects::AllExcept(
                std::mem::take(&mut self.removed)
                    .into_iter()
                    .map(|wire| (StoreRevision::new(wire.era, wire.revision), wire.name))
                    .collect(),
            ),
        }
    }
}

#[derive(prost::Message)]
struct ObjectWire {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(string, tag = "3")]
    spec: String,
    #[prost(string, tag = "4")]
    status: String,
    #[prost(uint64, tag = "5")]
    era: u64,
}

impl From<Vec<MirrorDelta>> for FeedReplyWire {
    fn from(deltas: Vec<MirrorDelta>) -> Self {
        let object = |object: PlatformObject| ObjectWire {
            name: object.name,
            revision: object.revision.number,
            era: object.revision.era,
            spec: object.spec.to_string(),
            status: object.status.to_string(),
        };
        Self {
            deltas: deltas
                .into_iter()
                .map(|delta| {
                    let mut wire = MirrorDeltaWire {
                        kind: position_of(delta.kind) as u32,
                        synced_revision: delta.synced_revision.number,
                        synced_era: delta.synced_revision.era,
                        latest_revision: delta.latest_revision.number,
                        latest_era: delta.latest_revision.era,
                        changed: delta.changed.into_iter().map(object).collect(),
                        patched: delta.patched.into_iter().map(Into::into).collect(),
                        ..MirrorDeltaWire::default()
                    };
                    wire.set_remaining(delta.remaining);
                    wire
                })
                .collect(),
            ..Self::default()
        }
    }
}

impl FeedReplyWire {
    /// Encodes the message, compressed if the receiver reads that and it is worth it.
    pub(crate) fn encode(&self, is_compressed: bool) -> Bytes {
        let message = prost::Message::encode_to_vec(self);
        let compressed = is_compressed.then(|| reply_compression::compress(&message));
        match compressed.flatten() {
            Some(compressed) => {
                let wire = Self {
                    compressed: vec![compressed],
                    ..Self::default()
                };
                prost::Message::encode_to_vec(&wire).into()
            }
            None => message.into(),
        }
    }

    /// Adds this message to encoded ones: one after the other, they are one message with the fields of
    /// all.
    pub(crate) fn append_to(&self, encoded: &[u8]) -> Bytes {
        [encoded, &prost::Message::encode_to_vec(self)]
            .concat()
            .into()
    }

    /// Deltas of this message, those of compressed ones included.
    fn all_deltas(self) -> io::Result<Vec<MirrorDeltaWire>> {
        let mut deltas = self.deltas;
        let mut left_bytes = MAX_REPLY_BYTES;
        for compressed in &self.compressed {
            let message = reply_compression::decompress(compressed, left_bytes)?;
            left_bytes -= message.len();
            let wire = <Self as prost::Message>::decode(&message[..])?;
            deltas.extend(wire.deltas);
        }
        Ok(deltas)
    }
}

impl TryFrom<FeedReplyWire> for Vec<MirrorDelta> {
    type Error = io::Error;

    fn try_from(wire: FeedReplyWire) -> io::Result<Self> {
        let wires = wire.all_deltas()?;
        let mut deltas = Vec::with_capacity(wires.len());
        for mut delta in wires {
            let Some(kind) = OBJECT_KINDS.get(delta.kind as usize) else {
                continue;
            };
            let remaining = delta.take_remaining();
            let mut changed = Vec::with_capacity(delta.changed.len());
            for object in delta.changed {
                changed.push(PlatformObject {
                    spec: serde_json::from_str(&object.spec)?,
                    status: serde_json::from_str(&object.status)?,
                    name: object.name,
                    revision: StoreRevision::new(object.era, object.revision),
                });
            }
            let patched = delta.patched.into_iter().map(PatchedObject::try_from);
            deltas.push(MirrorDelta {
                patched: patched.collect::<Result<_, _>>()?,
                kind: *kind,
                synced_revision: StoreRevision::new(delta.synced_era, delta.synced_revision),
                latest_revision: StoreRevision::new(delta.latest_era, delta.latest_revision),
                remaining,
                changed,
            });
        }
        Ok(deltas)
    }
}
