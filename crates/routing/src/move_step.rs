//! The steps of moving a range to another owner.

use crate::prelude::*;

/// Progress of one range's move.
#[derive(Clone, Debug)]
pub(crate) struct MoveProgress {
    pub(crate) stage: MoveStage,
    pub(crate) holder_expiry: HolderExpiry,
    pub(crate) handover: Option<String>,
}

impl MoveProgress {
    /// Progress of the same move under a new fence: a grant under the former one completes nothing.
    pub(crate) fn under_new_fence(&self, now: MonoTime) -> Self {
        let stage = match self.stage {
            MoveStage::Granting | MoveStage::Granted => MoveStage::ToGrant { not_before: now },
            MoveStage::Releasing => MoveStage::ToRelease { not_before: now },
            stage => stage,
        };
        Self {
            stage,
            ..self.clone()
        }
    }
}

/// When the holder of a moving range cannot hold it any more, even without a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HolderExpiry {
    /// The holder has ended.
    Ended,
    /// All grants have expired: those of this leader at the given time, and those of former leaders.
    GrantsExpired(MonoTime),
}

/// Stage of a move: the step that is due, in progress or done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MoveStage {
    ToRelease { not_before: MonoTime },
    Releasing,
    ToGrant { not_before: MonoTime },
    Granting,
    Granted,
}

/// Order that a move needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveStep {
    /// Ask `holder` to release the range under the new fence.
    Release {
        /// Range that moves.
        range: KeyRange,
        /// Server that holds the range.
        holder: ServerIncarnation,
    },
    /// Grant the range to its owner.
    Grant {
        /// Range that moves.
        range: KeyRange,
        /// Data that the previous holder handed over with its release.
        handover: Option<String>,
    },
}
