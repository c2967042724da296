//! Changes to a part's slices.

use crate::prelude::*;

/// One wanted change, decided by the balance of load and carried out by the part's leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SliceChange {
    /// Give the slice that starts at `start` to another server.
    Move {
        /// First hash of the slice.
        start: u64,
        /// New owner.
        to: ServerName,
    },
    /// Cut the slice that starts at `start` in two, the second starting at `at`.
    Split {
        /// First hash of the slice.
        start: u64,
        /// First hash of the second half.
        at: u64,
    },
    /// Join the slice that starts at `start` to the one before it, which has the same owner.
    Merge {
        /// First hash of the slice.
        start: u64,
    },
}
