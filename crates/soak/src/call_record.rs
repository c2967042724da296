//! One attempt of a caller.

use crate::prelude::*;

/// Kinds of requests, by the route that they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Lookup,
    Order,
    KeyedLookup,
    KeyedOrder,
    Probe,
}

/// What a caller saw of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    /// Number of the instance, and how often it had been started.
    pub(crate) instance: usize,
    pub(crate) start_count: u64,
    pub(crate) sent_at: MonoTime,
    pub(crate) timeout: Duration,
    pub(crate) ended_at: MonoTime,
    pub(crate) outcome: CallOutcome,
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallOutcome {
    /// An answer with a status, and what is wrong with it, if anything.
    Answered(StatusCode, Option<&'static str>),
    /// The connection had ended before the request left the caller.
    Unsent(String),
    /// The connection ended without an answer.
    Closed(String),
    /// The caller gave up at its deadline.
    TimedOut,
    /// The caller left early on purpose.
    Abandoned,
}

impl RequestKind {
    /// All kinds that callers send.
    pub(crate) const SENT_BY_CALLERS: [Self; 4] = [
        Self::Lookup,
        Self::Order,
        Self::KeyedLookup,
        Self::KeyedOrder,
    ];

    /// Whether a request may run more than once.
    pub(crate) fn is_idempotent(self) -> bool {
        !matches!(self, Self::Order | Self::KeyedOrder)
    }

    /// Whether a request carries a key.
    pub(crate) fn is_keyed(self) -> bool {
        matches!(self, Self::KeyedLookup | Self::KeyedOrder)
    }
}

impl CallRecord {
    /// Whether the caller was told that the request has not run and will not.
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

    /// Whether the caller got what it wanted.
    pub(crate) fn is_served(&self) -> bool {
        matches!(&self.outcome, CallOutcome::Answered(status, None) if status.is_success())
    }
}
