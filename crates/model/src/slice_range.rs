//! Range of the hash space.

use crate::prelude::*;

/// Range of key hashes that includes both of its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceRange {
    /// First hash of the range.
    pub start: u64,
    /// Last hash of the range.
    pub end: u64,
}

impl SliceRange {
    /// Returns whether `hash` lies in the range.
    pub fn contains(&self, hash: KeyHash) -> bool {
        (self.start..=self.end).contains(&hash.0)
    }

    /// Returns whether the two ranges share at least one hash.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.start <= other.end && other.start <= self.end
    }
}
