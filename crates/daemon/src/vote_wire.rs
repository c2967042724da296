//! Vote messages between instances; one frame carries those of all parts that two instances share.

use crate::prelude::*;

/// Requests for votes, and early releases of votes.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct VoteBatchWire {
    #[prost(message, repeated, tag = "1")]
    pub(crate) requests: Vec<VoteRequestWire>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) releases: Vec<VoteReleaseWire>,
}

/// Replies to a [`VoteBatchWire`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct VoteBatchReplyWire {
    /// One reply for each request, in the same order; an empty one if the request is malformed or
    /// its part is unknown.
    #[prost(message, repeated, tag = "1")]
    pub(crate) replies: Vec<VoteReplyWire>,
    /// Name and incarnation of the instance that replies.
    #[prost(string, tag = "2")]
    pub(crate) instance: String,
}

/// Wire form of [`VoteRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct VoteRequestWire {
    #[prost(string, tag = "1")]
    part: String,
    #[prost(string, tag = "2")]
    voter: String,
    #[prost(string, tag = "3")]
    candidate: String,
    #[prost(uint64, tag = "4")]
    term: u64,
    #[prost(uint32, tag = "5")]
    round: u32,
    #[prost(uint64, tag = "6")]
    edition: u64,
    #[prost(uint64, tag = "7")]
    activated_edition: u64,
    /// Record as the JSON that the store holds.
    #[prost(bytes = "vec", optional, tag = "8")]
    record: Option<Vec<u8>>,
}

/// Wire form of [`VoteRelease`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct VoteReleaseWire {
    #[prost(string, tag = "1")]
    voter: String,
    #[prost(string, tag = "2")]
    candidate: String,
    #[prost(uint64, tag = "3")]
    term: u64,
    #[prost(uint32, tag = "4")]
    round: u32,
    #[prost(bytes = "vec", tag = "5")]
    record: Vec<u8>,
}

/// Wire form of [`VoteReply`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct VoteReplyWire {
    #[prost(string, tag = "1")]
    part: String,
    #[prost(string, tag = "2")]
    voter: String,
    #[prost(enumeration = "VoteOutcomeWire", tag = "3")]
    outcome: i32,
    /// Time for which the vote is granted, or for which another instance still holds it, in
    /// microseconds.
    #[prost(uint64, tag = "4")]
    span_us: u64,
    #[prost(uint64, tag = "5")]
    term: u64,
    #[prost(uint32, tag = "6")]
    round: u32,
    #[prost(uint64, tag = "7")]
    edition: u64,
    #[prost(uint64, tag = "8")]
    activated_edition: u64,
    #[prost(bytes = "vec", optional, tag = "9")]
    record: Option<Vec<u8>>,
}

/// Wire form of [`VoteOutcome`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum VoteOutcomeWire {
    /// The request is for another incarnation of the voter, or the voter has just started.
    NotReady = 0,
    /// The candidate has the vote for the time `span_us`.
    Granted = 1,
    /// Another instance holds the vote, for at least the time `span_us`.
    HeldByOther = 2,
    /// The request names an older record, term or round than the voter knows.
    Stale = 3,
}

fn encode_record(record: &PartRecord) -> Vec<u8> {
    serde_json::to_vec(&PartWire::from(record)).unwrap_or_default()
}

fn decode_record(bytes: &[u8]) -> Result<PartRecord, WireError> {
    serde_json::from_slice::<PartWire>(bytes)
        .map_err(|error| WireError::new("record", &error.to_string(), "a part's record"))?
        .try_into()
}

fn decode_optional_record(bytes: Option<Vec<u8>>) -> Result<Option<PartRecord>, WireError> {
    bytes.map(|bytes| decode_record(&bytes)).transpose()
}

impl From<&VoteRequest> for VoteRequestWire {
    fn from(request: &VoteRequest) -> Self {
        Self {
            part: request.part.to_string(),
            voter: request.voter.to_string(),
            candidate: request.candidate.to_string(),
            term: request.term,
            round: request.round,
            edition: request.edition,
            activated_edition: request.activated_edition,
            record: request.record.as_ref().map(encode_record),
        }
    }
}

impl TryFrom<VoteRequestWire> for VoteRequest {
    type Error = WireError;

    fn try_from(wire: VoteRequestWire) -> Result<Self, WireError> {
        Ok(Self {
            part: wire.part.parse()?,
            voter: wire.voter.parse()?,
            candidate: wire.candidate.parse()?,
            term: wire.term,
            round: wire.round,
            edition: wire.edition,
            activated_edition: wire.activated_edition,
            record: decode_optional_record(wire.record)?,
        })
    }
}

impl From<&VoteRelease> for VoteReleaseWire {
    fn from(release: &VoteRelease) -> Self {
        Self {
            voter: release.voter.to_string(),
            candidate: release.candidate.to_string(),
            term: release.ballot.0,
            round: release.ballot.1,
            record: encode_record(&release.record),
        }
    }
}

impl TryFrom<VoteReleaseWire> for VoteRelease {
    type Error = WireError;

    fn try_from(wire: VoteReleaseWire) -> Result<Self, WireError> {
        let record = decode_record(&wire.record)?;
        Ok(Self {
            part: record.id.clone(),
            voter: wire.voter.parse()?,
            candidate: wire.candidate.parse()?,
            ballot: (wire.term, wire.round),
            record,
        })
    }
}

impl From<&VoteReply> for VoteReplyWire {
    fn from(reply: &VoteReply) -> Self {
        let (outcome, span) = match reply.outcome {
            VoteOutcome::NotReady => (VoteOutcomeWire::NotReady, Duration::ZERO),
            VoteOutcome::Granted(span) => (VoteOutcomeWire::Granted, span),
            VoteOutcome::HeldByOther(left) => (VoteOutcomeWire::HeldByOther, left),
            VoteOutcome::Stale => (VoteOutcomeWire::Stale, Duration::ZERO),
        };
        Self {
            part: reply.part.to_string(),
            voter: reply.voter.to_string(),
            outcome: outcome as i32,
            span_us: span.as_micros() as u64,
            term: reply.highest_ballot.0,
            round: reply.highest_ballot.1,
            edition: reply.edition,
            activated_edition: reply.activated_edition,
            record: reply.record.as_ref().map(encode_record),
        }
    }
}

impl TryFrom<VoteReplyWire> for VoteReply {
    type Error = WireError;

    fn try_from(wire: VoteReplyWire) -> Result<Self, WireError> {
        let span = Duration::from_micros(wire.span_us);
        Ok(Self {
            outcome: match wire.outcome() {
                VoteOutcomeWire::NotReady => VoteOutcome::NotReady,
                VoteOutcomeWire::Granted => VoteOutcome::Granted(span),
                VoteOutcomeWire::HeldByOther => VoteOutcome::HeldByOther(span),
                VoteOutcomeWire::Stale => VoteOutcome::Stale,
            },
            part: wire.part.parse()?,
            voter: wire.voter.parse()?,
            highest_ballot: (wire.term, wire.round),
            edition: wire.edition,
            activated_edition: wire.activated_edition,
            record: decode_optional_record(wire.record)?,
        })
    }
}
