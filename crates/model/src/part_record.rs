//! Stored record of a part: its leader, its standbys and the server that owns each slice.
//!
//! Leadership and slice assignment change together in one conditional write, so that a new leader
//! never works from an outdated assignment.

use crate::prelude::*;

/// Leadership and slice assignment of one part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRecord {
    /// Part that the record describes.
    pub id: PartId,
    /// Term of the leader, incremented with each change of leader.
    pub term: u64,
    /// Version of the record, incremented with each write.
    pub edition: u64,
    /// Instance that leads the part.
    pub leader: InstanceId,
    /// Instances that vote for the leader's lease and may replace the leader, preferred ones first.
    pub standbys: Vec<InstanceId>,
    /// Slices in ascending order; the first one starts where the part's range starts.
    pub slices: Vec<SliceEntry>,
    /// Last hash of the part's range.
    pub end: u64,
    /// Member lists of earlier records, a majority of each of which must also vote for the lease
    /// until the leader has acted on this record.
    pub former_members: Vec<Vec<InstanceId>>,
    /// Ranges whose previous owner may still hold them.
    pub moving: Vec<SliceRange>,
    /// Identifier of the write, by which the writer recognises its own write after a lost response.
    pub write_id: String,
}

impl PartRecord {
    /// Returns the slice that contains `hash`, or `None` when the hash lies outside the part.
    pub fn slice_of(&self, hash: KeyHash) -> Option<&SliceEntry> {
        if hash.0 > self.end {
            return None;
        }
        let next_index = self.slices.partition_point(|entry| entry.start <= hash.0);
        self.slices.get(next_index.checked_sub(1)?)
    }

    /// Returns the range of the slice at `index`; panics when there is no such slice.
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

    /// Iterates over the slices with their ranges.
    pub fn ranges(&self) -> impl Iterator<Item = (SliceRange, &SliceEntry)> {
        self.slices
            .iter()
            .enumerate()
            .map(|(index, entry)| (self.range_at(index), entry))
    }

    /// Returns the ranges of the slices that `server` owns.
    pub fn ranges_of(&self, server: &ServerName) -> Vec<SliceRange> {
        self.ranges()
            .filter(|(_, entry)| entry.owner.as_ref() == Some(server))
            .map(|(range, _)| range)
            .collect()
    }

    /// Returns the leader and the standbys, which vote on who holds the part's lease.
    pub fn members(&self) -> Vec<InstanceId> {
        let mut members = vec![self.leader.clone()];
        members.extend(self.standbys.iter().cloned());
        members
    }

    /// Returns whether `range` overlaps a range whose previous owner may still hold it.
    pub fn is_moving(&self, range: &SliceRange) -> bool {
        self.moving.iter().any(|moving| moving.overlaps(range))
    }

    /// Returns the fence that the record's leader sends while it acts on this record.
    pub fn fence(&self) -> FenceToken {
        FenceToken {
            term: self.term,
            rank: 0,
            edition: self.edition,
        }
    }
}
