//! Answers to requests for loans.

use crate::prelude::*;

/// Answer of one member of a trio.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteReply {
    /// Part.
    pub part: PartId,
    /// Instance that answers.
    pub voter: InstanceId,
    /// Whether it lends.
    pub outcome: VoteOutcome,
    /// Highest term and round that it has lent to.
    pub highest_ballot: (u64, u32),
    /// Edition of the latest record that it knows, 0 for none.
    pub edition: u64,
    /// Latest edition that it knows to have been acted on.
    pub activated_edition: u64,
    /// Its record, when the asking instance knows only an older one.
    pub record: Option<PartRecord>,
}

/// Whether a loan is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteOutcome {
    /// Lent for a span, counted from before the request was sent.
    Granted(Duration),
    /// Another instance holds the loan, for at least this long.
    HeldByOther(Duration),
    /// The request names an older record, term or round.
    Stale,
    /// Another run of the voter was asked, or it has just started.
    NotReady,
}
