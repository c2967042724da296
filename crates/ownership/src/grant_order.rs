//! Orders that grant slices to a server.

use crate::prelude::*;

/// The whole of what a server may serve, until when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantOrder {
    /// Part whose slices are granted.
    pub part: PartId,
    /// Authority of the order.
    pub fence: FenceToken,
    /// All ranges that the server may serve; those left out are revoked.
    pub ranges: Vec<SliceRange>,
    /// Reading of the server's clock from which the grant no longer stands.
    pub not_after: MonoTime,
}
