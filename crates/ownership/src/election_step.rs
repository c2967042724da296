//! What a part's elector or candidate does next.

use crate::prelude::*;

/// One message or write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Ask for a loan.
    RequestVote(VoteRequest),
    /// Give a loan back and tell who is to lead.
    ReleaseVote {
        /// Instance to tell.
        to: InstanceId,
        /// What it is told.
        release: VoteRelease,
    },
    /// Write the record in place of the one before it.
    Write(PartRecord),
}
