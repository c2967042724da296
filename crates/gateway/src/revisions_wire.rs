//! Revisions by kind in messages between instances.
//!
//! Builds that know of no evacuations read the first three revisions of a heartbeat, and reject a feed
//! request with more.

use crate::prelude::*;

/// Number of kinds that all builds know.
pub(crate) const FORMER_KIND_COUNT: usize = 3;

/// Revisions of one kind that a requester knows.
#[derive(Clone, Copy, prost::Message)]
pub(crate) struct KindRevisionsWire {
    #[prost(uint64, tag = "1")]
    synced_revision: u64,
    #[prost(uint64, tag = "2")]
    synced_era: u64,
    #[prost(uint64, tag = "3")]
    latest_revision: u64,
    #[prost(uint64, tag = "4")]
    latest_era: u64,
}

impl KindRevisionsWire {
    pub(crate) fn new(synced: StoreRevision, latest: StoreRevision) -> Self {
        Self {
            synced_revision: synced.number,
            synced_era: synced.era,
            latest_revision: latest.number,
            latest_era: latest.era,
        }
    }

    /// Revision up to which all changes are known.
    pub(crate) fn synced(self) -> StoreRevision {
        StoreRevision::new(self.synced_era, self.synced_revision)
    }

    /// Highest revision that has been seen.
    pub(crate) fn latest(self) -> StoreRevision {
        StoreRevision::new(self.latest_era, self.latest_revision)
    }
}

/// Numbers of revisions, without their eras.
pub(crate) fn numbers(revisions: &[StoreRevision]) -> Vec<u64> {
    revisions.iter().map(|revision| revision.number).collect()
}

/// Eras of revisions.
pub(crate) fn eras(revisions: &[StoreRevision]) -> Vec<u64> {
    revisions.iter().map(|revision| revision.era).collect()
}

/// Revisions of the kinds that all builds know.
pub(crate) fn former_kinds(revisions: &KindRevisions) -> &[StoreRevision] {
    &revisions[..FORMER_KIND_COUNT]
}

/// The revisions, without that of the evacuations while there is none.
pub(crate) fn known_kinds(revisions: &KindRevisions) -> &[StoreRevision] {
    match revisions[FORMER_KIND_COUNT..] == [StoreRevision::ZERO] {
        true => former_kinds(revisions),
        false => revisions,
    }
}

/// Joins revisions and their eras; missing ones are zero.
pub(crate) fn with_eras(numbers: &[u64], eras: &[u64]) -> KindRevisions {
    std::array::from_fn(|position| {
        let era = eras.get(position).copied().unwrap_or_default();
        let number = numbers.get(position).copied().unwrap_or_default();
        StoreRevision::new(era, number)
    })
}
