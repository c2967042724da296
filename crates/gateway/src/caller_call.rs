//! One caller's request on its way, and how it ends.

use crate::prelude::*;

/// A request that has been read whole and has a route.
pub(crate) struct CallerCall {
    /// Method, path and headers as the caller sent them.
    pub(crate) head: http::request::Parts,
    /// Whole body.
    pub(crate) body: Bytes,
    /// What the caller says about it.
    pub(crate) facts: RequestHeaders,
    /// Its route.
    pub(crate) route: RouteRule,
    /// Service that was drawn for it.
    pub(crate) service: String,
    /// Revision of the configuration that was in force.
    pub(crate) revision: u64,
    /// When it arrived.
    pub(crate) arrived: MonoTime,
    /// When the caller or the route gives up.
    pub(crate) deadline: MonoTime,
    /// When the target latency ends, counted from the caller's first attempt.
    pub(crate) target_at: MonoTime,
    /// How far it has come.
    pub(crate) progress: CallProgress,
}

/// What has to be known of a request when its time is up.
#[derive(Debug, Default)]
pub(crate) struct CallProgress {
    /// Whether a server may be running it now.
    pub(crate) in_flight: AtomicBool,
    /// Whether an attempt has ended of which it is not known that it did not run.
    pub(crate) unclear: AtomicBool,
    /// Attempts sent.
    pub(crate) sends: AtomicUsize,
}

impl CallProgress {
    /// Whether a server may run the request or may have run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) || self.unclear.load(Ordering::Relaxed)
    }
}

/// How a request ends.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// A server's answer.
    Served(Response<Bytes>),
    /// It has not run; when to come back, and what was seen of the servers.
    Refused(RefusalReason, Duration, LoadView),
    /// It may have run and has no answer.
    Failed(FailureReason),
}

/// What an instance saw of a service's servers when it refused a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadView {
    /// Servers that take new work.
    pub(crate) servers: usize,
    /// Those that rest after failures.
    pub(crate) resting: usize,
    /// Those with room for another request.
    pub(crate) with_room: usize,
    /// Shortest time in which one would be done with the request.
    pub(crate) least_expected: Duration,
    /// Requests that waited at this instance.
    pub(crate) waiting: usize,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The instance ends before the request could.
    Stopping,
    /// The service has no server that could take it.
    NoServer,
    /// No server has room within the time that is left.
    NoRoom,
    /// No server can finish it within the caller's deadline.
    Hopeless,
    /// The key's range is on its way or has no owner.
    NoOwner,
    /// The request names no key.
    NoKey,
    /// Servers did not run it, and no further attempt is allowed.
    NotRun,
}

/// Why a request that may have run has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureReason {
    /// The connection to the server broke, or the answer was not its own.
    NoAnswer,
    /// The deadline or the route's timeout passed.
    TimedOut,
    /// The instance ends.
    Stopping,
}

impl RefusalReason {
    /// Name in logs, metrics and answers.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::Stopping => "stopping",
            Self::NoServer => "no-server",
            Self::NoRoom => "no-room",
            Self::Hopeless => "hopeless",
            Self::NoOwner => "no-owner",
            Self::NoKey => "no-key",
            Self::NotRun => "not-run",
        }
    }
}

impl FailureReason {
    /// Name in logs, metrics and answers.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NoAnswer => "no-answer",
            Self::TimedOut => "timed-out",
            Self::Stopping => "stopping",
        }
    }

    /// Status that promises nothing.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoAnswer => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::Stopping => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl CallerCall {
    /// Time until the caller or the route gives up.
    pub(crate) fn left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }

    /// Time until the target latency ends.
    pub(crate) fn target_left(&self, now: MonoTime) -> Duration {
        self.target_at.since(now)
    }
}
