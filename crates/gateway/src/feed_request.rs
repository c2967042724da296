//! Requests of the feed between instances, as protobuf messages.

use crate::{
    object_mirror::position_of,
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
    /// Whether the requester reads compressed replies.
    pub(crate) reads_compressed: bool,
}

impl FeedRequest {
    /// Request for what is missing in a mirror.
    pub(crate) fn of_mirror(mirror: &ObjectMirror, takes_evacuations: bool) -> Self {
        Self {
            synced_revisions: mirror.synced_revisions(),
            latest_revisions: mirror.latest_revisions(),
            takes_evacuations,
            patch_base: mirror.patch_base(),
            reads_compressed: true,
        }
    }

    /// Takes revisions that were sent without an era to be of the given one.
    pub(crate) fn assume_era(self, era: u64) -> Self {
        Self {
            synced_revisions: self.synced_revisions.map(|revision| revision.or_era(era)),
            latest_revisions: self.latest_revisions.map(|revision| revision.or_era(era)),
            patch_base: self.patch_base.or_era(era),
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
    #[prost(bool, tag = "8")]
    reads_compressed: bool,
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
            reads_compressed: request.reads_compressed,
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
            reads_compressed: wire.reads_compressed,
        };
        if let Some(known) = wire.evacuations {
            let position = position_of(ObjectKind::Evacuations);
            request.synced_revisions[position] = known.synced();
            request.latest_revisions[position] = known.latest();
        }
        Ok(request)
    }
}
