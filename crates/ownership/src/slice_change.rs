//! Changes to the slices of a part.

use crate::prelude::*;

/// One change to a slice, to be written into the record by the part's leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SliceChange {
    /// Assign the slice that starts at `start` to another server.
    Move {
        /// First hash of the slice.
        start: u64,
        /// New owner.
        to: ServerName,
    },
    /// Split the slice that starts at `start` in two; the second one starts at `at`.
    Split {
        /// First hash of the slice.
        start: u64,
        /// First hash of the second slice.
        at: u64,
    },
    /// Merge the slice that starts at `start` into the one before it, which has the same owner.
    Merge {
        /// First hash of the slice.
        start: u64,
    },
}
