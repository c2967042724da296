//! Changes that discovery reports.

use crate::prelude::*;

/// Change of one entry, reported by discovery.
#[derive(Clone, Debug)]
pub enum RosterChange {
    /// The entry was written at a revision.
    Updated(Box<ServerEntry>, StoreRevision),
    /// The entry of an identifier was removed, or could not be read, at a revision.
    Removed(String, StoreRevision),
}
