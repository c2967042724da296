//! The change from one key record to the next.
//!
//! A leader changes few ranges at a time. Sent as a delta, a change fits into one datagram, so
//! other instances learn of a move before the holder releases the keys, without reading the record.

use crate::prelude::*;

/// Change of a key record within one leader's term.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordDelta {
    /// Keys that move to another owner, in the order of assignment.
    pub moves: Vec<RangeMove>,
    /// Ranges whose moves have completed, by first key and fence.
    pub settles: Vec<(u16, u64)>,
    /// Ranges that get a new fence and keep their owners, by first key, in the order of the fences.
    pub raises: Vec<u16>,
    /// Runs of adjacent ranges to be merged, by the first key of each run.
    pub merges: Vec<u16>,
    /// Whether the list of former leaders is cleared.
    pub clears_former: bool,
    /// New supporters of the leader, if they change.
    pub supporters: Option<Vec<InstanceIncarnation>>,
}

/// Keys of one range that move to another owner under the next fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeMove {
    /// Lowest key of the move.
    pub first: u16,
    /// Highest key of the move.
    pub last: u16,
    /// Server that receives the keys.
    pub owner: ServerIncarnation,
    /// Whether no other server can still hold the keys, so that none has to release them.
    pub previous_released: bool,
}

impl RecordDelta {
    /// Returns the record after the change.
    pub fn apply(&self, record: &KeyRecord) -> KeyRecord {
        let mut next = record.clone();
        for (first, fence) in &self.settles {
            next.settle(*first, *fence);
        }
        for first in &self.raises {
            next.raise(*first);
        }
        for range_move in &self.moves {
            next.assign(
                range_move.first,
                range_move.last,
                &range_move.owner,
                range_move.previous_released,
            );
        }
        for first in &self.merges {
            next.merge(*first);
        }
        if self.clears_former {
            next.former.clear();
        }
        if let Some(supporters) = &self.supporters {
            next.supporters.clone_from(supporters);
        }
        next
    }

    /// Number of moved, settled, raised and merged ranges.
    pub fn len(&self) -> usize {
        self.moves.len() + self.settles.len() + self.raises.len() + self.merges.len()
    }

    /// Whether the delta changes nothing.
    pub fn is_empty(&self) -> bool {
        self.moves.is_empty()
            && self.settles.is_empty()
            && self.raises.is_empty()
            && self.merges.is_empty()
            && !self.clears_former
            && self.supporters.is_none()
    }
}
