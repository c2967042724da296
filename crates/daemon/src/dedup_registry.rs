//! Dedup tables of non-repeatable requests, replicated among the members of each part.
//!
//! A leader replicates the entry of a request to another member before it sends the request to a
//! server, so that a new leader knows every request that may have run. Each replica remembers the
//! authorities (terms and ranks of leaders) under which it was written, see [`ReplicaAuthorities`].
//! A pull by a new leader raises the fence of a replica, which refuses updates below its fence.

use crate::prelude::*;

/// Dedup replicas of all parts that this instance is or was a member of.
#[derive(Default)]
pub(crate) struct DedupRegistry {
    parts: Mutex<IndexMap<PartId, DedupReplica>>,
}

/// Latest authorities under which a replica was written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReplicaAuthorities {
    /// Authority under which this instance itself led the part.
    pub(crate) led: Option<FenceToken>,
    /// Authority of the latest leader that sent its entire table.
    pub(crate) full_copy: Option<FenceToken>,
    /// Authority of the latest leader that sent any update.
    pub(crate) updated: Option<FenceToken>,
}

/// Answer of the leader's registry to a request.
pub(crate) enum DedupLookup {
    /// The entries of the former leader have not been collected yet.
    NotCollected,
    /// A newer leader has taken over.
    Deposed,
    /// The dedup table has decided.
    Decided(DedupStep<CallerAnswer>),
}

impl DedupRegistry {
    /// Largest number of entries in one frame.
    const PAGE_ENTRIES: usize = 256;

    /// Decides on a request under `authority`.
    pub(crate) fn begin(
        &self,
        part: &PartId,
        authority: FenceToken,
        query: DedupQuery,
        now_ms: u64,
    ) -> DedupLookup {
        let mut parts = self.parts.lock().unwrap();
        let replica = parts.entry(part.clone()).or_default();
        if replica.fence > authority {
            return DedupLookup::Deposed;
        }
        match replica.authorities.led == Some(authority) {
            true => DedupLookup::Decided(replica.table.begin(query, now_ms)),
            false => DedupLookup::NotCollected,
        }
    }

    /// Whether nothing is left to collect under `authority`: the entries have been collected, or
    /// a newer leader has taken over.
    pub(crate) fn is_collected_or_deposed(&self, part: &PartId, authority: FenceToken) -> bool {
        let parts = self.parts.lock().unwrap();
        parts.get(part).is_some_and(|replica| {
            replica.authorities.led == Some(authority) || replica.fence > authority
        })
    }

    /// Current entry of a request as a change for the other members.
    pub(crate) fn current_change(&self, part: &PartId, id: Uuid) -> Option<DedupChange> {
        let parts = self.parts.lock().unwrap();
        let entry = parts.get(part)?.table.get(id)?;
        Some(DedupChange::Merge(id, entry.clone()))
    }

    /// Records how an attempt ended; `None` withdraws an attempt that did not run.
    pub(crate) fn finish(
        &self,
        part: &PartId,
        id: Uuid,
        attempt: u64,
        stage: Option<RunStage<CallerAnswer>>,
    ) {
        let mut parts = self.parts.lock().unwrap();
        let Some(replica) = parts.get_mut(part) else {
            return;
        };
        match stage {
            Some(stage) => replica.table.finish(id, attempt, stage),
            None => replica.table.withdraw(id, attempt),
        }
    }

    /// Update message with `changes` under `authority`.
    pub(crate) fn update_wire(
        &self,
        part: &PartId,
        authority: FenceToken,
        changes: &[DedupChange],
    ) -> DedupUpdateWire {
        let parts = self.parts.lock().unwrap();
        DedupUpdateWire {
            part: part.to_string(),
            term: authority.term,
            rank: authority.rank,
            floor_ms: parts
                .get(part)
                .map_or(0, |replica| replica.table.floor_ms()),
            entries: changes.iter().map(DedupEntryWire::from).collect(),
            completes_copy: false,
        }
    }

    /// Page of the entire table after the id `after`, with the id to continue from; the last page
    /// has `completes_copy` set.
    pub(crate) fn full_copy_page(
        &self,
        part: &PartId,
        authority: FenceToken,
        after: Option<Uuid>,
    ) -> (DedupUpdateWire, Option<Uuid>) {
        let entries = {
            let parts = self.parts.lock().unwrap();
            let page = |replica: &DedupReplica| replica.table.page(after, Self::PAGE_ENTRIES);
            parts.get(part).map(page).unwrap_or_default()
        };
        let next = entries.last().map(|(id, _)| *id);
        let changes: Vec<_> = entries
            .into_iter()
            .map(|(id, entry)| DedupChange::Merge(id, entry))
            .collect();
        let mut wire = self.update_wire(part, authority, &changes);
        wire.completes_copy = changes.len() < Self::PAGE_ENTRIES;
        (wire, next)
    }

    /// Applies a leader's update; false when a newer leader has taken over. How earlier requests
    /// ended is taken from a refused update all the same.
    pub(crate) fn accept(&self, wire: DedupUpdateWire) -> Result<bool, WireError> {
        let part: PartId = wire.part.parse()?;
        let authority = FenceToken {
            term: wire.term,
            rank: wire.rank,
            edition: 0,
        };
        let changes: Vec<_> = wire
            .entries
            .into_iter()
            .map(DedupChange::try_from)
            .collect::<Result<_, _>>()?;
        let mut parts = self.parts.lock().unwrap();
        let replica = parts.entry(part).or_default();
        if replica.fence > authority {
            replica.merge_outcomes(changes);
            return Ok(false);
        }
        replica.fence = authority;
        replica.authorities.updated = replica.authorities.updated.max(Some(authority));
        replica.table.raise_floor(wire.floor_ms);
        replica.apply(changes);
        if wire.completes_copy {
            replica.authorities.full_copy = replica.authorities.full_copy.max(Some(authority));
        }
        Ok(true)
    }

    /// Page of entries for a new leader; from now on the replica refuses updates of earlier
    /// leaders.
    pub(crate) fn serve_pull(&self, wire: &DedupPullWire) -> Result<DedupPageWire, WireError> {
        let part: PartId = wire.part.parse()?;
        let authority = FenceToken {
            term: wire.term,
            rank: wire.rank,
            edition: 0,
        };
        let mut parts = self.parts.lock().unwrap();
        let replica = parts.entry(part).or_default();
        if replica.fence > authority {
            return Ok(DedupPageWire::default());
        }
        replica.fence = authority;
        let page = replica
            .table
            .page(Uuid::from_slice(&wire.after).ok(), Self::PAGE_ENTRIES);
        let entries = page
            .into_iter()
            .map(|(id, entry)| (&DedupChange::Merge(id, entry)).into())
            .collect();
        Ok(DedupPageWire {
            accepted: true,
            floor_ms: replica.table.floor_ms(),
            entries,
            led: replica.authorities.led.map(AuthorityWire::from),
            full_copy: replica.authorities.full_copy.map(AuthorityWire::from),
            updated: replica.authorities.updated.map(AuthorityWire::from),
        })
    }

    /// Whether a pulled page is the last one.
    pub(crate) fn is_last(page: &DedupPageWire) -> bool {
        page.entries.len() < Self::PAGE_ENTRIES
    }

    /// Merges a pulled page into this instance's replica.
    pub(crate) fn merge_page(&self, part: &PartId, page: DedupPageWire) -> Result<(), WireError> {
        let changes = page
            .entries
            .into_iter()
            .map(DedupChange::try_from)
            .collect::<Result<_, _>>()?;
        let mut parts = self.parts.lock().unwrap();
        let replica = parts.entry(part.clone()).or_default();
        replica.table.raise_floor(page.floor_ms);
        replica.apply(changes);
        Ok(())
    }

    /// Raises the fence of this instance's replica to `authority`; returns the replica's
    /// authorities.
    pub(crate) fn raise_fence(&self, part: &PartId, authority: FenceToken) -> ReplicaAuthorities {
        let mut parts = self.parts.lock().unwrap();
        let replica = parts.entry(part.clone()).or_default();
        replica.fence = replica.fence.max(authority);
        replica.authorities
    }

    /// Starts deciding on requests under `authority`. If the collected entries are incomplete, ids
    /// made up to now are refused: their requests may have run.
    pub(crate) fn take_over(
        &self,
        part: &PartId,
        authority: FenceToken,
        complete: bool,
        now_ms: u64,
    ) {
        let mut parts = self.parts.lock().unwrap();
        let replica = parts.entry(part.clone()).or_default();
        if replica.fence > authority {
            return;
        }
        replica.table.mark_running_unclear();
        if !complete {
            replica.table.raise_floor_past(now_ms);
        }
        replica.authorities.led = Some(authority);
        replica.synced_members.clear();
    }

    /// Those of `members` that do not hold the leader's entire table yet.
    pub(crate) fn unsynced_members(
        &self,
        part: &PartId,
        members: &[InstanceId],
    ) -> Vec<InstanceId> {
        let mut parts = self.parts.lock().unwrap();
        let Some(replica) = parts.get_mut(part) else {
            return Vec::new();
        };
        replica
            .synced_members
            .retain(|synced| members.contains(synced));
        members
            .iter()
            .filter(|member| !replica.synced_members.contains(member))
            .cloned()
            .collect()
    }

    /// Records that `member` holds the entire table of the leader under `authority`.
    pub(crate) fn mark_synced(&self, part: &PartId, authority: FenceToken, member: &InstanceId) {
        let mut parts = self.parts.lock().unwrap();
        if let Some(replica) = parts.get_mut(part)
            && replica.authorities.led == Some(authority)
        {
            replica.synced_members.push(member.clone());
        }
    }
}
