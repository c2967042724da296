//! Requests for a loan of a part's time.

use crate::prelude::*;

/// A holder's or candidate's request to one member of a trio.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanAsk {
    /// Part.
    pub part: PartId,
    /// Run of the instance that is asked; another run of it must not lend.
    pub lender: InstanceId,
    /// Instance that asks.
    pub holder: InstanceId,
    /// Term of the latest record that the holder knows.
    pub term: u64,
    /// Round within the term.
    pub round: u32,
    /// Edition of that record.
    pub edition: u64,
    /// Latest edition that the holder knows to have been acted on.
    pub sealed: u64,
    /// The record, when the lender may not know it.
    pub record: Option<PartRecord>,
}

/// What to do with a loan that is no longer needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// Part.
    pub part: PartId,
    /// Run of the instance that lent.
    pub lender: InstanceId,
    /// Instance that gives the loan back.
    pub holder: InstanceId,
    /// Term and round of the loan; the holder claims neither again.
    pub claim: (u64, u32),
    /// The holder's latest record, which names who is to lead.
    pub record: PartRecord,
}
