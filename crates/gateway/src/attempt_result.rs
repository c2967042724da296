//! Result of one attempt to run a request on a server.

use crate::prelude::*;

/// Result of an attempt, distinguished by whether the server may have run the request.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The server ran the request; its answer goes to the caller.
    Answered(Response<StoredBody>),
    /// The server ran the request and failed; contains its answer.
    Failed(Response<StoredBody>),
    /// The server reported that it did not run the request.
    NotRun,
    /// The server does not own the key, or another server now has its address.
    Misdirected,
    /// The request was not sent, for the given cause.
    NotSent(String),
    /// The request was evicted before it was sent.
    Evicted,
    /// The server refused the connection; the request was not sent.
    Refused,
    /// The request was sent, and the connection ended before the answer was complete.
    ConnectionLost(String),
    /// The request was sent, but there is no answer, or none that verifiably belongs to it. The
    /// server may have run it.
    Unclear(String),
}

impl AttemptResult {
    /// Value of the `result` label in logs and metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun => "not-run",
            Self::Misdirected => "misdirected",
            Self::NotSent(_) => "not-sent",
            Self::Evicted => "evicted",
            Self::Refused => "refused",
            Self::ConnectionLost(_) => "connection-lost",
            Self::Unclear(_) => "unclear",
        }
    }
}
