//! Loans as passed between instances: one frame carries those of all parts that a pair shares.

use crate::prelude::*;

/// Requests for loans, and loans given back.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LeaseWire {
    #[prost(message, repeated, tag = "1")]
    pub(crate) asks: Vec<LoanAskWire>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) returns: Vec<LoanReturnWire>,
}

/// Answers, in the order of the requests.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LeaseReplyWire {
    #[prost(message, repeated, tag = "1")]
    pub(crate) replies: Vec<LoanReplyWire>,
    /// Run of the instance that answers.
    #[prost(string, tag = "2")]
    pub(crate) instance: String,
}

/// Wire form of [`LoanAsk`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LoanAskWire {
    #[prost(string, tag = "1")]
    part: String,
    #[prost(string, tag = "2")]
    lender: String,
    #[prost(string, tag = "3")]
    holder: String,
    #[prost(uint64, tag = "4")]
    term: u64,
    #[prost(uint32, tag = "5")]
    round: u32,
    #[prost(uint64, tag = "6")]
    edition: u64,
    #[prost(uint64, tag = "7")]
    sealed: u64,
    /// Record in its stored form.
    #[prost(bytes = "vec", optional, tag = "8")]
    record: Option<Vec<u8>>,
}

/// Wire form of [`LoanReturn`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LoanReturnWire {
    #[prost(string, tag = "1")]
    lender: String,
    #[prost(string, tag = "2")]
    holder: String,
    #[prost(uint64, tag = "3")]
    term: u64,
    #[prost(uint32, tag = "4")]
    round: u32,
    #[prost(bytes = "vec", tag = "5")]
    record: Vec<u8>,
}

/// Wire form of [`LoanReply`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LoanReplyWire {
    #[prost(string, tag = "1")]
    part: String,
    #[prost(string, tag = "2")]
    lender: String,
    #[prost(enumeration = "VerdictWire", tag = "3")]
    verdict: i32,
    /// Time lent, or until which another holds the loan, in microseconds.
    #[prost(uint64, tag = "4")]
    span_us: u64,
    #[prost(uint64, tag = "5")]
    term: u64,
    #[prost(uint32, tag = "6")]
    round: u32,
    #[prost(uint64, tag = "7")]
    edition: u64,
    #[prost(uint64, tag = "8")]
    sealed: u64,
    #[prost(bytes = "vec", optional, tag = "9")]
    record: Option<Vec<u8>>,
}

/// Wire form of [`LoanVerdict`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum VerdictWire {
    /// Not ready.
    NotReady = 0,
    /// Lent.
    Lent = 1,
    /// Held by another.
    Held = 2,
    /// The request is behind.
    Behind = 3,
}

fn stored(record: &PartRecord) -> Vec<u8> {
    serde_json::to_vec(&PartWire::from(record)).unwrap_or_default()
}

fn record_of(bytes: &[u8]) -> Result<PartRecord, WireError> {
    serde_json::from_slice::<PartWire>(bytes)
        .map_err(|error| WireError::new("record", &error.to_string(), "a part's record"))?
        .try_into()
}

fn record_in(bytes: Option<Vec<u8>>) -> Result<Option<PartRecord>, WireError> {
    bytes.map(|bytes| record_of(&bytes)).transpose()
}

impl From<&LoanAsk> for LoanAskWire {
    fn from(ask: &LoanAsk) -> Self {
        Self {
            part: ask.part.to_string(),
            lender: ask.lender.to_string(),
            holder: ask.holder.to_string(),
            term: ask.term,
            round: ask.round,
            edition: ask.edition,
            sealed: ask.sealed,
            record: ask.record.as_ref().map(stored),
        }
    }
}

impl TryFrom<LoanAskWire> for LoanAsk {
    type Error = WireError;

    fn try_from(wire: LoanAskWire) -> Result<Self, WireError> {
        Ok(Self {
            part: wire.part.parse()?,
            lender: wire.lender.parse()?,
            holder: wire.holder.parse()?,
            term: wire.term,
            round: wire.round,
            edition: wire.edition,
            sealed: wire.sealed,
            record: record_in(wire.record)?,
        })
    }
}

impl From<&LoanReturn> for LoanReturnWire {
    fn from(notice: &LoanReturn) -> Self {
        Self {
            lender: notice.lender.to_string(),
            holder: notice.holder.to_string(),
            term: notice.claim.0,
            round: notice.claim.1,
            record: stored(&notice.record),
        }
    }
}

impl TryFrom<LoanReturnWire> for LoanReturn {
    type Error = WireError;

    fn try_from(wire: LoanReturnWire) -> Result<Self, WireError> {
        let record = record_of(&wire.record)?;
        Ok(Self {
            part: record.id.clone(),
            lender: wire.lender.parse()?,
            holder: wire.holder.parse()?,
            claim: (wire.term, wire.round),
            record,
        })
    }
}

impl From<&LoanReply> for LoanReplyWire {
    fn from(reply: &LoanReply) -> Self {
        let (verdict, span) = match reply.verdict {
            LoanVerdict::NotReady => (VerdictWire::NotReady, Duration::ZERO),
            LoanVerdict::Lent(span) => (VerdictWire::Lent, span),
            LoanVerdict::Held(left) => (VerdictWire::Held, left),
            LoanVerdict::Behind => (VerdictWire::Behind, Duration::ZERO),
        };
        Self {
            part: reply.part.to_string(),
            lender: reply.lender.to_string(),
            verdict: verdict as i32,
            span_us: span.as_micros() as u64,
            term: reply.highest.0,
            round: reply.highest.1,
            edition: reply.edition,
            sealed: reply.sealed,
            record: reply.record.as_ref().map(stored),
        }
    }
}

impl TryFrom<LoanReplyWire> for LoanReply {
    type Error = WireError;

    fn try_from(wire: LoanReplyWire) -> Result<Self, WireError> {
        let span = Duration::from_micros(wire.span_us);
        Ok(Self {
            verdict: match wire.verdict() {
                VerdictWire::NotReady => LoanVerdict::NotReady,
                VerdictWire::Lent => LoanVerdict::Lent(span),
                VerdictWire::Held => LoanVerdict::Held(span),
                VerdictWire::Behind => LoanVerdict::Behind,
            },
            part: wire.part.parse()?,
            lender: wire.lender.parse()?,
            highest: (wire.term, wire.round),
            edition: wire.edition,
            sealed: wire.sealed,
            record: record_in(wire.record)?,
        })
    }
}
