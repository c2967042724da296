//! One run of a request at a server.

use crate::prelude::*;

/// What a server saw of a request.
#[derive(Clone, Debug)]
pub(crate) struct ExecutionRecord {
    /// Identifier of the request.
    pub(crate) id: String,
    /// Service and life of the server.
    pub(crate) service: &'static str,
    pub(crate) server: ServerIncarnation,
    pub(crate) arrived_at: MonoTime,
    /// Time that the request allowed the server, none when it named none.
    pub(crate) allowed_time: Option<Duration>,
    pub(crate) started_at: Option<MonoTime>,
    pub(crate) ended_at: Option<MonoTime>,
    pub(crate) outcome: ExecutionOutcome,
    /// Whether the server had said that it leaves, and since when.
    pub(crate) draining_since: Option<MonoTime>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ExecutionOutcome {
    /// It has not.
    Unfinished,
    /// The server did not run it, and said so.
    Rejected,
    /// It ran, and its answer was sent.
    Answered,
    /// It ran, and was broken off or has no answer.
    Interrupted,
}
