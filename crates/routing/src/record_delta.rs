//! The change from one key record to the next.
//!
//! A leader's changes are few ranges out of many. Told as a delta they fit one datagram, so that
//! instances learn of a move before the holder gives the keys up, without reading the record.

use crate::prelude::*;

/// Change of a record under one leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordDelta {
    /// Ranges that go to another owner, in order.
    pub moves: Vec<RangeMove>,
    /// Ranges that their owners hold now, by first key and fence.
    pub settles: Vec<(u16, u64)>,
    /// Neighbouring ranges that become one, by the first key of each run of them.
    pub merges: Vec<u16>,
    /// Whether former leaders are forgotten.
    pub clears_former: bool,
}

/// Keys of one range that go to another owner under the next fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeMove {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Server that gets them.
    pub owner: ServerIncarnation,
    /// Whether no other server can hold them.
    pub previous_released: bool,
}

impl RecordDelta {
    /// Record after the change.
    pub fn apply(&self, record: &KeyRecord) -> KeyRecord {
        let mut next = record.clone();
        for (first, fence) in &self.settles {
            next.settle(*first, *fence);
        }
        for step in &self.moves {
            next.assign(step.first, step.last, &step.owner, step.previous_released);
        }
        for first in &self.merges {
            next.merge(*first);
        }
        if self.clears_former {
            next.former.clear();
        }
        next
    }

    /// Number of single changes.
    pub fn len(&self) -> usize {
        self.moves.len() + self.settles.len() + self.merges.len()
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.moves.is_empty()
            && self.settles.is_empty()
            && self.merges.is_empty()
            && !self.clears_former
    }
}
