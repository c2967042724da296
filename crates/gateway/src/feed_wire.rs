//! Protobuf messages of the feed between instances.

use crate::{
    era_wire::EraWire,
    knowledge_wire::KnowledgeWire,
    mirror_delta::{MirrorDelta, RemainingObjects},
    object_mirror::{OBJECT_KINDS, position_of},
    patch_history::PatchedObject,
    patch_wire::PatchedObjectWire,
    prelude::*,
    revisions_wire::{
        FORMER_KIND_COUNT, KindRevisionsWire, eras, former_kinds, numbers, with_eras,
    },
};

/// Request for the objects that changed after the requester's revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FeedRequest {
    /// Revisions up to which the requester knows all changes, by kind.
    pub(crate) synced_revisions: KindRevisions,
    /// Highest revisions that the requester has seen, by kind.
    pub(crate) latest_revisions: KindRevisions,
    /// Whether the requester takes evacuations.
    pub(crate) takes_evacuations: bool,
    /// Revision of the requester's configuration, to which differences may be applied; zero if it
    /// wants the whole.
    pub(crate) patch_base: StoreRevision,
}

impl FeedRequest {
    /// Takes revisions that were sent without an era to be of the given one.
    pub(crate) fn assume_era(self, era: u64) -> Self {
        Self {
            synced_revisions: self.synced_revisions.map(|revision| revision.or_era(era)),
            latest_revisions: self.latest_revisions.map(|revision| revision.or_era(era)),
            ..self
        }
    }
}

#[derive(prost::Message)]
pub(crate) struct FeedRequestWire {
    #[prost(uint64, repeated, tag = "1")]
    synced_revisions: Vec<u64>,
    #[prost(uint64, repeated, tag = "2")]
    latest_revisions: Vec<u64>,
    /// Eras of the revisions; missing from builds that know of none.
    #[prost(uint64, repeated, tag = "3")]
    synced_eras: Vec<u64>,
    #[prost(uint64, repeated, tag = "4")]
    latest_eras: Vec<u64>,
    /// Revisions of the evacuations; missing if the requester takes none. Builds that know of none
    /// reject a request with more than three entries in the fields above.
    #[prost(message, optional, tag = "5")]
    evacuations: Option<KindRevisionsWire>,
    /// Missing from builds that take no differences.
    #[prost(uint64, tag = "6")]
    patch_base: u64,
    #[prost(uint64, tag = "7")]
    patch_base_era: u64,
}

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

impl From<FeedRequest> for FeedRequestWire {
    fn from(request: FeedRequest) -> Self {
        let synced = former_kinds(&request.synced_revisions);
        let latest = former_kinds(&request.latest_revisions);
        Self {
            synced_revisions: numbers(synced),
            latest_revisions: numbers(latest),
            synced_eras: eras(synced),
            latest_eras: eras(latest),
            patch_base: request.patch_base.number,
            patch_base_era: request.patch_base.era,
            evacuations: request.takes_evacuations.then(|| {
                let position = position_of(ObjectKind::Evacuations);
                KindRevisionsWire::new(
                    request.synced_revisions[position],
                    request.latest_revisions[position],
                )
            }),
        }
    }
}

impl TryFrom<FeedRequestWire> for FeedRequest {
    type Error = Vec<u64>;

    fn try_from(wire: FeedRequestWire) -> Result<Self, Vec<u64>> {
        let synced: [u64; FORMER_KIND_COUNT] = wire.synced_revisions.try_into()?;
        let latest: [u64; FORMER_KIND_COUNT] = wire.latest_revisions.try_into()?;
        let mut request = Self {
            synced_revisions: with_eras(&synced, &wire.synced_eras),
            latest_revisions: with_eras(&latest, &wire.latest_eras),
            takes_evacuations: wire.evacuations.is_some(),
            patch_base: StoreRevision::new(wire.patch_base_era, wire.patch_base),
        };
        if let Some(known) = wire.evacuations {
            let position = position_of(ObjectKind::Evacuations);
            request.synced_revisions[position] = known.synced();
            request.latest_revisions[position] = known.latest();
        }
        Ok(request)
    }
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
            knowledge: None,
            era: None,
            knows_evacuations: false,
        }
    }
}

impl TryFrom<FeedReplyWire> for Vec<MirrorDelta> {
    type Error = serde_json::Error;

    fn try_from(wire: FeedReplyWire) -> Result<Self, serde_json::Error> {
        let mut deltas = Vec::with_capacity(wire.deltas.len());
        for mut delta in wire.deltas {
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
