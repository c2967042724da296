//! Classifies a server's answer.

use std::ops::RangeInclusive;

/// Properties of a server's answer that decide on its verdict.
#[derive(Clone, Copy, Debug)]
pub struct AnswerFacts {
    /// HTTP status code.
    pub status: u16,
    /// Whether the answer carries the server's signature.
    pub is_signed: bool,
    /// Whether the answer carries the identifier of the request.
    pub has_request_id: bool,
    /// Whether the answer states that the request was not executed.
    pub not_executed: bool,
    /// Whether the body has a content encoding, which servers never use.
    pub is_encoded: bool,
}

/// Classification of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The answer goes to the caller unchanged.
    Deliver,
    /// The request ran and failed at the server.
    Failed,
    /// The server did not run the request.
    NotRun,
    /// The server does not hold the key, or is not the expected one.
    Misdirected,
    /// The answer cannot be attributed to this request; whether the request ran is unknown.
    Unverified,
}

/// Statuses of final answers (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

impl AnswerFacts {
    /// Classifies the answer.
    pub fn verdict(self) -> AnswerVerdict {
        // A late second copy of another request's answer says nothing about this request, and a
        // status that no final answer has says nothing at all.
        if !self.has_request_id || !FINAL_STATUSES.contains(&self.status) {
            return AnswerVerdict::Unverified;
        }
        if self.status == 421 {
            return AnswerVerdict::Misdirected;
        }
        if self.not_executed {
            return AnswerVerdict::NotRun;
        }
        if !self.is_signed || self.is_encoded {
            return AnswerVerdict::Unverified;
        }
        match self.status {
            // These statuses promise that the request did not run, but the answer does not state
            // it.
            408 | 429 | 503 => AnswerVerdict::Unverified,
            500.. => AnswerVerdict::Failed,
            _ => AnswerVerdict::Deliver,
        }
    }
}
