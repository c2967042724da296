//! The order by which a leader grants slices to a server.

use crate::prelude::*;

/// All ranges of a part that a server may serve, and until when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantOrder {
    /// Part whose slices are granted.
    pub part: PartId,
    /// Fencing token of the leader that sent the order.
    pub fence: FenceToken,
    /// All ranges that the server may serve; ranges left out are revoked.
    pub ranges: Vec<SliceRange>,
    /// Time on the server's clock from which the grant is no longer valid.
    pub not_after: MonoTime,
}
