//! A range of the hash space.

use crate::prelude::*;

/// Inclusive range of hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceRange {
    /// First hash.
    pub start: u64,
    /// Last hash.
    pub end: u64,
}

impl SliceRange {
    /// Whether `hash` lies in the range.
    pub fn contains(&self, hash: KeyHash) -> bool {
        (self.start..=self.end).contains(&hash.0)
    }

    /// Whether the two ranges share a hash.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.start <= other.end && other.start <= self.end
    }
}
