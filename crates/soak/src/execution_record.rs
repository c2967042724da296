//! Record of one arrival of a request at a server.

use crate::{notice_checker::ServerNotice, prelude::*};

/// Observation of a request by a server that received it.
#[derive(Clone, Debug)]
pub(crate) struct ExecutionRecord {
    /// Identifier of the request, which its caller chose.
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) server: ServerIncarnation,
    pub(crate) arrived_at: MonoTime,
    /// Time that the request allows the server for its answer; `None` if it states no time.
    pub(crate) allowed_time: Option<Duration>,
    pub(crate) started_at: Option<MonoTime>,
    pub(crate) ended_at: Option<MonoTime>,
    pub(crate) outcome: ExecutionOutcome,
    /// Time at which the store was told that the server drains or is gone, if it was before the
    /// request arrived.
    pub(crate) leaving_since: Option<MonoTime>,
    /// Whether the answer names a limit on the rate of requests.
    pub(crate) names_limit: bool,
    /// What the answer says of the server.
    pub(crate) notice: Option<ServerNotice>,
    /// Number of the poison request, if it is one.
    pub(crate) poison: Option<usize>,
}

/// Outcome of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ExecutionOutcome {
    /// The request is waiting or in progress.
    Unfinished,
    /// The server did not execute the request and reported that.
    Rejected,
    /// The server executed the request and answered it.
    Answered,
    /// The server began to execute the request but did not answer it correctly.
    Interrupted,
}
