//! The stored record of a part: who leads it and which server owns each slice.
//!
//! Leadership and assignment change together, in one conditional update, so that there is no moment
//! at which a new leader works from an old assignment.

use crate::prelude::*;

/// Authority and assignment of one part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRecord {
    /// Which part.
    pub id: PartId,
    /// Grows by one with each change of leader.
    pub term: u64,
    /// Grows by one with each write of the record.
    pub edition: u64,
    /// Instance that leads.
    pub leader: InstanceId,
    /// Instances that vote for the leader and may replace it, best first.
    pub standbys: Vec<InstanceId>,
    /// Slices in order of their start; the first starts at the part's range.
    pub slices: Vec<SliceEntry>,
    /// Last hash that belongs to the part.
    pub end: u64,
    /// Earlier sets of members that must vote too until the record has been acted on.
    pub former_members: Vec<Vec<InstanceId>>,
    /// Ranges whose former owner may still hold them.
    pub moving: Vec<SliceRange>,
    /// Identity of the write, to recognise a write whose answer was lost.
    pub write_id: String,
}

impl PartRecord {
    /// Entry that holds `hash`.
    pub fn slice_of(&self, hash: KeyHash) -> Option<&SliceEntry> {
        if hash.0 > self.end {
            return None;
        }
        let after = self.slices.partition_point(|entry| entry.start <= hash.0);
        self.slices.get(after.checked_sub(1)?)
    }

    /// Range of the entry at `index`.
    pub fn range_at(&self, index: usize) -> SliceRange {
        let end = self
            .slices
            .get(index + 1)
            .map_or(self.end, |next| next.start - 1);
        SliceRange {
            start: self.slices[index].start,
            end,
        }
    }

    /// Each slice with its range.
    pub fn ranges(&self) -> impl Iterator<Item = (SliceRange, &SliceEntry)> {
        self.slices
            .iter()
            .enumerate()
            .map(|(index, entry)| (self.range_at(index), entry))
    }

    /// Ranges that `server` owns.
    pub fn ranges_of(&self, server: &ServerName) -> Vec<SliceRange> {
        self.ranges()
            .filter(|(_, entry)| entry.owner.as_ref() == Some(server))
            .map(|(range, _)| range)
            .collect()
    }

    /// Leader and standbys: the instances whose votes give the lease of the part.
    pub fn members(&self) -> Vec<InstanceId> {
        let mut members = vec![self.leader.clone()];
        members.extend(self.standbys.iter().cloned());
        members
    }

    /// Whether `range` touches one whose former owner may still hold it.
    pub fn is_moving(&self, range: &SliceRange) -> bool {
        self.moving.iter().any(|moving| moving.overlaps(range))
    }

    /// Fence of orders that the leader on record gives from this record.
    pub fn fence(&self) -> FenceToken {
        FenceToken {
            term: self.term,
            rank: 0,
            edition: self.edition,
        }
    }
}
