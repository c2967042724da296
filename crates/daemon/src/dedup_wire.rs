//! Wire form of dedup entries, as passed between the members of a part.

use crate::prelude::*;

/// Update from a part's leader to another member.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DedupUpdateWire {
    #[prost(string, tag = "1")]
    pub(crate) part: String,
    #[prost(uint64, tag = "2")]
    pub(crate) term: u64,
    #[prost(uint32, tag = "3")]
    pub(crate) rank: u32,
    /// Requests whose ids were made before this time are refused, in milliseconds since the Unix
    /// epoch.
    #[prost(uint64, tag = "4")]
    pub(crate) floor_ms: u64,
    #[prost(message, repeated, tag = "5")]
    pub(crate) entries: Vec<DedupEntryWire>,
    /// Set on the last page of a copy of the leader's entire table.
    #[prost(bool, tag = "6")]
    pub(crate) completes_copy: bool,
}

/// A member's answer to an update.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct DedupUpdateReplyWire {
    #[prost(bool, tag = "1")]
    pub(crate) accepted: bool,
}

/// Entry of one request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DedupEntryWire {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) id: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) digest: Vec<u8>,
    #[prost(uint64, tag = "3")]
    pub(crate) attempt: u64,
    #[prost(enumeration = "DedupStageWire", tag = "4")]
    pub(crate) stage: i32,
    #[prost(message, optional, tag = "5")]
    pub(crate) answer: Option<ForwardReplyWire>,
    #[prost(uint64, tag = "6")]
    pub(crate) answer_bytes: u64,
}

/// Stage of a request's latest attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum DedupStageWire {
    Running = 0,
    Unclear = 1,
    Ran = 2,
    /// The attempt certainly did not run.
    Withdrawn = 3,
}

/// A new leader's request for the entries of a part.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DedupPullWire {
    #[prost(string, tag = "1")]
    pub(crate) part: String,
    #[prost(uint64, tag = "2")]
    pub(crate) term: u64,
    #[prost(uint32, tag = "3")]
    pub(crate) rank: u32,
    /// Id after which the page starts, empty for the first page.
    #[prost(bytes = "vec", tag = "4")]
    pub(crate) after: Vec<u8>,
}

/// One page of entries, with the authorities of the replica that sends it.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DedupPageWire {
    #[prost(bool, tag = "1")]
    pub(crate) accepted: bool,
    #[prost(uint64, tag = "2")]
    pub(crate) floor_ms: u64,
    #[prost(message, repeated, tag = "3")]
    pub(crate) entries: Vec<DedupEntryWire>,
    #[prost(message, optional, tag = "4")]
    pub(crate) led: Option<AuthorityWire>,
    #[prost(message, optional, tag = "5")]
    pub(crate) full_copy: Option<AuthorityWire>,
    #[prost(message, optional, tag = "6")]
    pub(crate) updated: Option<AuthorityWire>,
}

/// Authority of a leader.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct AuthorityWire {
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) rank: u32,
}

/// A change of a dedup table.
pub(crate) enum DedupChange {
    /// Adds or updates the entry of a request.
    Merge(Uuid, DedupEntry<CallerAnswer>),
    /// Removes an attempt that certainly did not run.
    Withdraw(Uuid, u64),
}

impl From<FenceToken> for AuthorityWire {
    fn from(fence: FenceToken) -> Self {
        Self {
            term: fence.term,
            rank: fence.rank,
        }
    }
}

impl From<AuthorityWire> for FenceToken {
    fn from(wire: AuthorityWire) -> Self {
        Self {
            term: wire.term,
            rank: wire.rank,
            edition: 0,
        }
    }
}

impl From<&DedupChange> for DedupEntryWire {
    fn from(change: &DedupChange) -> Self {
        let (id, entry) = match change {
            DedupChange::Merge(id, entry) => (id, entry),
            DedupChange::Withdraw(id, attempt) => {
                return Self {
                    id: id.as_bytes().to_vec(),
                    attempt: *attempt,
                    stage: DedupStageWire::Withdrawn as i32,
                    ..Self::default()
                };
            }
        };
        let (stage, recorded) = match &entry.stage {
            RunStage::Running => (DedupStageWire::Running, None),
            RunStage::Unclear => (DedupStageWire::Unclear, None),
            RunStage::Ran(recorded) => (DedupStageWire::Ran, recorded.as_ref()),
        };
        Self {
            id: id.as_bytes().to_vec(),
            digest: entry.digest.to_be_bytes().to_vec(),
            attempt: entry.attempt,
            stage: stage as i32,
            answer: recorded.map(|recorded| (&recorded.answer).into()),
            answer_bytes: recorded.map_or(0, |recorded| recorded.bytes as u64),
        }
    }
}

impl TryFrom<DedupEntryWire> for DedupChange {
    type Error = WireError;

    fn try_from(wire: DedupEntryWire) -> Result<Self, WireError> {
        let stage = wire.stage();
        let id = Uuid::from_slice(&wire.id).map_err(|_| WireError::new("id", "", "16 bytes"))?;
        if stage == DedupStageWire::Withdrawn {
            return Ok(Self::Withdraw(id, wire.attempt));
        }
        let digest = wire.digest[..]
            .try_into()
            .map_err(|_| WireError::new("digest", "", "16 bytes"))?;
        let answer = wire.answer.map(CallerAnswer::try_from).transpose()?;
        let stage = match stage {
            DedupStageWire::Running => RunStage::Running,
            DedupStageWire::Unclear | DedupStageWire::Withdrawn => RunStage::Unclear,
            DedupStageWire::Ran => RunStage::Ran(answer.map(|answer| RecordedAnswer {
                answer,
                bytes: wire.answer_bytes as usize,
            })),
        };
        let entry = DedupEntry {
            digest: u128::from_be_bytes(digest),
            attempt: wire.attempt,
            stage,
        };
        Ok(Self::Merge(id, entry))
    }
}
