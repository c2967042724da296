//! Notes of non-repeatable requests, held by a part's leader and its standbys.
//!
//! A leader notes a request at a standby before the request leaves for its server, so that a
//! successor knows every request that may have run. Each copy remembers the authority under which
//! it was made: `led` where this instance led, `whole` where a leader sent its entire memory, and
//! `noted` for the latest note. A successor's pull raises the fence, and notes below it are refused.

use crate::prelude::*;

/// Notes of all parts that this instance leads or stands by for.
#[derive(Default)]
pub(crate) struct DedupRegistry {
    parts: Mutex<IndexMap<PartId, DedupReplica>>,
}

/// Authorities under which a copy of the notes was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReplicaAuthorities {
    pub(crate) led: Option<FenceToken>,
    pub(crate) whole: Option<FenceToken>,
    pub(crate) noted: Option<FenceToken>,
}

/// What the leader's book says of a request.
pub(crate) enum DedupLookup {
    /// The notes of the former leader have not been collected.
    Collect,
    /// A successor has begun.
    Deposed,
    /// The memory's decision.
    Decided(DedupStep<CallerAnswer>),
}

impl DedupRegistry {
    /// Remembered requests that one frame carries.
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
        let notes = parts.entry(part.clone()).or_default();
        if notes.fence > authority {
            return DedupLookup::Deposed;
        }
        match notes.marks.led == Some(authority) {
            true => DedupLookup::Decided(notes.memory.begin(query, now_ms)),
            false => DedupLookup::Collect,
        }
    }

    /// Whether the notes of `part` have been collected under `authority`.
    pub(crate) fn leads(&self, part: &PartId, authority: FenceToken) -> bool {
        let parts = self.parts.lock().unwrap();
        parts
            .get(part)
            .is_some_and(|notes| notes.marks.led == Some(authority) || notes.fence > authority)
    }

    /// Current note of a request, for the standbys.
    pub(crate) fn change_of(&self, part: &PartId, id: Uuid) -> Option<DedupChange> {
        let parts = self.parts.lock().unwrap();
        let entry = parts.get(part)?.memory.get(id)?;
        Some(DedupChange::Learn(id, entry.clone()))
    }

    /// Notes how an attempt ended; none for one that did not run.
    pub(crate) fn end(
        &self,
        part: &PartId,
        id: Uuid,
        attempt: u64,
        stage: Option<RunStage<CallerAnswer>>,
    ) {
        let mut parts = self.parts.lock().unwrap();
        let Some(notes) = parts.get_mut(part) else {
            return;
        };
        match stage {
            Some(stage) => notes.memory.finish(id, attempt, stage),
            None => notes.memory.withdraw(id, attempt),
        }
    }

    /// Wire form of changes under `authority`.
    pub(crate) fn wire(
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
            floor_ms: parts.get(part).map_or(0, |notes| notes.memory.floor_ms()),
            entries: changes.iter().map(DedupEntryWire::from).collect(),
            whole: false,
        }
    }

    /// Page of the whole memory after the id `after`; the last one is marked as such.
    pub(crate) fn page(
        &self,
        part: &PartId,
        authority: FenceToken,
        after: Option<Uuid>,
    ) -> (DedupUpdateWire, Option<Uuid>) {
        let entries = {
            let parts = self.parts.lock().unwrap();
            let page = |notes: &DedupReplica| notes.memory.page(after, Self::PAGE_ENTRIES);
            parts.get(part).map(page).unwrap_or_default()
        };
        let next = entries.last().map(|(id, _)| *id);
        let changes: Vec<_> = entries
            .into_iter()
            .map(|(id, entry)| DedupChange::Learn(id, entry))
            .collect();
        let mut wire = self.wire(part, authority, &changes);
        wire.whole = changes.len() < Self::PAGE_ENTRIES;
        (wire, next)
    }

    /// Takes in a leader's notes; false when a successor has begun.
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
        let notes = parts.entry(part).or_default();
        if notes.fence > authority {
            notes.learn_ends(changes);
            return Ok(false);
        }
        notes.fence = authority;
        notes.marks.noted = notes.marks.noted.max(Some(authority));
        notes.memory.raise_floor(wire.floor_ms);
        notes.take_in(changes);
        if wire.whole {
            notes.marks.whole = notes.marks.whole.max(Some(authority));
        }
        Ok(true)
    }

    /// Page of notes for a successor under `authority`, which no earlier leader can add to.
    pub(crate) fn serve_pull(&self, wire: &DedupPullWire) -> Result<DedupPageWire, WireError> {
        let part: PartId = wire.part.parse()?;
        let authority = FenceToken {
            term: wire.term,
            rank: wire.rank,
            edition: 0,
        };
        let mut parts = self.parts.lock().unwrap();
        let notes = parts.entry(part).or_default();
        if notes.fence > authority {
            return Ok(DedupPageWire::default());
        }
        notes.fence = authority;
        let page = notes
            .memory
            .page(Uuid::from_slice(&wire.after).ok(), Self::PAGE_ENTRIES);
        let entries = page
            .into_iter()
            .map(|(id, entry)| (&DedupChange::Learn(id, entry)).into())
            .collect();
        Ok(DedupPageWire {
            accepted: true,
            floor_ms: notes.memory.floor_ms(),
            entries,
            led: notes.marks.led.map(AuthorityWire::from),
            whole: notes.marks.whole.map(AuthorityWire::from),
            noted: notes.marks.noted.map(AuthorityWire::from),
        })
    }

    /// Number of entries below which a pulled page is the last one.
    pub(crate) fn is_last(page: &DedupPageWire) -> bool {
        page.entries.len() < Self::PAGE_ENTRIES
    }

    /// Takes in a pulled page.
    pub(crate) fn learn(&self, part: &PartId, page: DedupPageWire) -> Result<(), WireError> {
        let changes = page
            .entries
            .into_iter()
            .map(DedupChange::try_from)
            .collect::<Result<_, _>>()?;
        let mut parts = self.parts.lock().unwrap();
        let notes = parts.entry(part.clone()).or_default();
        notes.memory.raise_floor(page.floor_ms);
        notes.take_in(changes);
        Ok(())
    }

    /// Authorities of our own copy; notes below `authority` are refused from now on.
    pub(crate) fn fence(&self, part: &PartId, authority: FenceToken) -> ReplicaAuthorities {
        let mut parts = self.parts.lock().unwrap();
        let notes = parts.entry(part.clone()).or_default();
        notes.fence = notes.fence.max(authority);
        notes.marks
    }

    /// Begins to decide under `authority`; an incomplete memory forgets every id up to now.
    pub(crate) fn take_over(
        &self,
        part: &PartId,
        authority: FenceToken,
        complete: bool,
        now_ms: u64,
    ) {
        let mut parts = self.parts.lock().unwrap();
        let notes = parts.entry(part.clone()).or_default();
        if notes.fence > authority {
            return;
        }
        notes.memory.mark_running_unclear();
        if !complete {
            notes.memory.raise_floor_past(now_ms);
        }
        notes.marks.led = Some(authority);
        notes.told.clear();
    }

    /// Members of `trio` that don't hold our whole memory yet.
    pub(crate) fn untold(&self, part: &PartId, trio: &[InstanceId]) -> Vec<InstanceId> {
        let mut parts = self.parts.lock().unwrap();
        let Some(notes) = parts.get_mut(part) else {
            return Vec::new();
        };
        notes.told.retain(|told| trio.contains(told));
        trio.iter()
            .filter(|member| !notes.told.contains(member))
            .cloned()
            .collect()
    }

    /// Notes that `member` holds our whole memory.
    pub(crate) fn told(&self, part: &PartId, authority: FenceToken, member: &InstanceId) {
        let mut parts = self.parts.lock().unwrap();
        if let Some(notes) = parts.get_mut(part)
            && notes.marks.led == Some(authority)
        {
            notes.told.push(member.clone());
        }
    }
}
