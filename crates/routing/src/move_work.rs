//! The steps of a range on its way to another owner.

use crate::prelude::*;

/// How far a range on its way has come.
#[derive(Clone, Debug)]
pub(crate) struct MoveWork {
    pub(crate) stage: MoveStage,
    /// When the holder can hold nothing any more, released or not.
    pub(crate) free_at: MonoTime,
    pub(crate) handover: Option<String>,
}

/// Step that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MoveStage {
    ToRelease { not_before: MonoTime },
    Releasing,
    ToGrant { not_before: MonoTime },
    Granting,
    Granted,
}

/// One order that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveStep {
    /// Ask `holder` to give the range up under its new fence.
    Release {
        /// Range on its way.
        range: KeyRange,
        /// Server that holds it.
        holder: ServerIncarnation,
    },
    /// Grant the range to its owner.
    Grant {
        /// Range on its way.
        range: KeyRange,
        /// What the holder handed over.
        handover: Option<String>,
    },
}
