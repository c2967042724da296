//! Requests for a member's vote, and the early release of a vote.

use crate::prelude::*;

/// Request of a candidate or leader for the vote of one member of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Part to lead.
    pub part: PartId,
    /// Incarnation of the member that is asked; its other incarnations must not vote.
    pub voter: InstanceId,
    /// Instance that requests the vote.
    pub candidate: InstanceId,
    /// Term of the latest record that the candidate knows.
    pub term: u64,
    /// Round within the term.
    pub round: u32,
    /// Edition of that record.
    pub edition: u64,
    /// Latest edition that the candidate knows to have been acted on by a leader.
    pub activated_edition: u64,
    /// The record, when the voter may not know it.
    pub record: Option<PartRecord>,
}

/// Notice to a voter that its vote is free before it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteRelease {
    /// Part that the candidate no longer leads.
    pub part: PartId,
    /// Incarnation of the member that voted.
    pub voter: InstanceId,
    /// Instance that releases the vote.
    pub candidate: InstanceId,
    /// Term and round of the vote; the candidate never uses this ballot again.
    pub ballot: (u64, u32),
    /// The candidate's latest record, which names the next leader.
    pub record: PartRecord,
}
