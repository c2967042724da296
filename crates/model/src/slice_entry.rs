//! Entry of one slice in a part's record.

use crate::prelude::*;

/// First hash and owner of a slice, which ends just before the next entry's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceEntry {
    /// First hash of the slice.
    pub start: u64,
    /// Server that owns the slice, or `None` when no server is available to own it and in shared
    /// services.
    pub owner: Option<ServerName>,
}
