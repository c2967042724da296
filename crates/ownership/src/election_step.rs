//! Messages and writes that an elector asks its instance to carry out.

use crate::prelude::*;

/// One message to send, or one write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Request a member's vote.
    RequestVote(VoteRequest),
    /// Release a member's vote before it expires.
    ReleaseVote {
        /// Instance to notify.
        to: InstanceId,
        /// Notice to send.
        release: VoteRelease,
    },
    /// Write the record in place of the edition before it.
    Write(PartRecord),
}
