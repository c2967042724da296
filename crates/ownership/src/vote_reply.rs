//! Answers to requests for a member's vote.

use crate::prelude::*;

/// Answer of one member of a part to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteReply {
    /// Part to lead.
    pub part: PartId,
    /// Instance that answers.
    pub voter: InstanceId,
    /// Decision on the request.
    pub outcome: VoteOutcome,
    /// Highest term and round that the voter has voted for.
    pub highest_ballot: (u64, u32),
    /// Edition of the latest record that the voter knows, 0 for none.
    pub edition: u64,
    /// Latest edition that the voter knows to have been acted on by a leader.
    pub activated_edition: u64,
    /// The voter's record, when the candidate knows only an older one.
    pub record: Option<PartRecord>,
}

/// Decision of a voter on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteOutcome {
    /// The candidate has the vote for this long, counted from before the request was sent.
    Granted(Duration),
    /// Another instance holds the vote, for at least this long.
    HeldByOther(Duration),
    /// The request names an older record, term or round than the voter knows.
    Stale,
    /// The request is for another incarnation of the voter, or the voter has just started.
    NotReady,
}
