//! What became of one attempt at a server.

use crate::prelude::*;

/// Result of an attempt, by what the server may have done.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The server's answer, to be delivered.
    Answered(Response<Bytes>),
    /// The server ran the request and failed; its answer.
    Failed(Response<Bytes>),
    /// The server says that it did not run the request.
    NotRun,
    /// The server does not hold the key, or another one has its address.
    Misdirected,
    /// No connection was made; nothing was sent.
    NotSent(String),
    /// Nothing listens at the server's address; nothing was sent.
    Refused,
    /// The request was sent and its answer is missing or not its own.
    Unclear(String),
}

impl AttemptResult {
    /// Name in logs and metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun => "not-run",
            Self::Misdirected => "misdirected",
            Self::NotSent(_) => "not-sent",
            Self::Refused => "refused",
            Self::Unclear(_) => "unclear",
        }
    }
}
