//! Record of one attempt of a caller to send a request.

use crate::prelude::*;

/// Kind of a request; each kind has a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Lookup,
    Order,
    KeyedLookup,
    KeyedOrder,
    Probe,
    /// Lookup on the route that the configuration of this revision has added.
    Passing(u64),
}

/// Observation of one attempt by its caller.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) instance: usize,
    /// Number of starts of the instance when the connection was opened.
    pub(crate) start_count: u64,
    pub(crate) sent_at: MonoTime,
    pub(crate) timeout: Duration,
    pub(crate) ended_at: MonoTime,
    pub(crate) outcome: CallOutcome,
    /// Whether it is the first attempt of a caller to have its request served.
    pub(crate) is_first_attempt: bool,
}

/// Outcome of an attempt for its caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallOutcome {
    /// Answer with this status, and what is wrong with the answer, if anything.
    Answered(StatusCode, Option<&'static str>),
    /// The connection was closed before the request was sent.
    Unsent(String),
    /// The connection was closed without an answer.
    Closed(String),
    /// The caller received no answer until its timeout.
    TimedOut,
    /// The caller intentionally closed the connection early.
    Abandoned,
}

impl RequestKind {
    /// Kinds that callers send; probes and requests for passing routes are sent separately.
    pub(crate) const SENT_BY_CALLERS: [Self; 4] = [
        Self::Lookup,
        Self::Order,
        Self::KeyedLookup,
        Self::KeyedOrder,
    ];

    /// Whether a request of this kind may be executed more than once.
    pub(crate) fn is_idempotent(self) -> bool {
        !matches!(self, Self::Order | Self::KeyedOrder)
    }

    /// Whether a request of this kind carries a key.
    pub(crate) fn is_keyed(self) -> bool {
        matches!(self, Self::KeyedLookup | Self::KeyedOrder)
    }
}

impl CallRecord {
    /// Whether the status of the answer guarantees that the request was not and will not be
    /// executed.
    pub(crate) fn is_reported_not_run(&self) -> bool {
        matches!(
            self.outcome,
            CallOutcome::Answered(
                StatusCode::SERVICE_UNAVAILABLE
                    | StatusCode::TOO_MANY_REQUESTS
                    | StatusCode::REQUEST_TIMEOUT
                    | StatusCode::MISDIRECTED_REQUEST,
                _
            )
        )
    }

    /// Whether the caller received a valid answer with a success status.
    pub(crate) fn is_served(&self) -> bool {
        matches!(&self.outcome, CallOutcome::Answered(status, None) if status.is_success())
    }
}
