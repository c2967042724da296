//! What a elector may do with a part at a moment.

use crate::prelude::*;

/// Authority over a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderAuthority {
    /// Record that orders are given from.
    pub record: PartRecord,
    /// Round within the record's term.
    pub round: u32,
    /// Our reading from which no order may stand.
    pub until: MonoTime,
    /// Whether only ownership that is surely the same for every other elector may be renewed.
    pub frozen: bool,
}

impl LeaderAuthority {
    /// Fence of the orders.
    pub fn fence(&self) -> FenceToken {
        FenceToken {
            rank: self.round,
            ..self.record.fence()
        }
    }
}
