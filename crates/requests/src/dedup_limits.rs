//! Limits of the deduplication table.

use crate::prelude::*;

/// Retention time and size limits of a [`DedupTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DedupLimits {
    /// Time for which an entry is kept, counted from the timestamp of its id.
    pub retention: Duration,
    /// Longest time by which the timestamp of an id may be ahead of the local clock.
    pub max_clock_skew: Duration,
    /// Largest number of entries.
    pub max_entries: usize,
    /// Largest total size of the recorded answers, in bytes.
    pub max_recorded_bytes: usize,
    /// Size of the largest answer that is recorded, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for DedupLimits {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            max_clock_skew: Duration::from_secs(2),
            max_entries: 65_536,
            max_recorded_bytes: 4 << 20,
            max_answer_bytes: 16 << 10,
        }
    }
}
