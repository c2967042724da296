//! Requests for a loan of a part's time.

use crate::prelude::*;

/// A candidate's or candidate's request to one member of a trio.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Part.
    pub part: PartId,
    /// Run of the instance that is asked; another run of it must not lend.
    pub voter: InstanceId,
    /// Instance that asks.
    pub candidate: InstanceId,
    /// Term of the latest record that the candidate knows.
    pub term: u64,
    /// Round within the term.
    pub round: u32,
    /// Edition of that record.
    pub edition: u64,
    /// Latest edition that the candidate knows to have been acted on.
    pub activated_edition: u64,
    /// The record, when the voter may not know it.
    pub record: Option<PartRecord>,
}

/// What to do with a loan that is no longer needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRelease {
    /// Part.
    pub part: PartId,
    /// Run of the instance that lent.
    pub voter: InstanceId,
    /// Instance that gives the loan back.
    pub candidate: InstanceId,
    /// Term and round of the loan; the candidate claims neither again.
    pub ballot: (u64, u32),
    /// The candidate's latest record, which names who is to lead.
    pub record: PartRecord,
}
