//! One slice in a part's record.

use crate::prelude::*;

/// Start of a slice and its owner; the slice ends where the next one starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceEntry {
    /// First hash of the slice.
    pub start: u64,
    /// Server that owns the slice, none when every candidate is gone.
    pub owner: Option<ServerName>,
}
