//! What the leader of a part is allowed to do, and until when.

use crate::prelude::*;

/// Authority of a leader over a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderAuthority {
    /// Record that the leader acts on.
    pub record: PartRecord,
    /// Round of the votes within the record's term.
    pub round: u32,
    /// Time on this instance's clock until which orders may be valid.
    pub valid_until: MonoTime,
    /// Whether ranges on the move are out of bounds, because another leader may still act on an
    /// older record; ownership that is the same in both may be renewed.
    pub frozen: bool,
}

impl LeaderAuthority {
    /// Fencing token of the leader's orders.
    pub fn fence(&self) -> FenceToken {
        FenceToken {
            rank: self.round,
            ..self.record.fence()
        }
    }
}
