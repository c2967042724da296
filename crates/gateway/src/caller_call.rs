//! A caller's request while it is processed, and its possible outcomes.

use crate::{body_refusal, prelude::*};
use http::header;
use std::sync::OnceLock;

/// A caller's request that has been read completely and matched to a route.
pub(crate) struct CallerCall {
    /// Method, URI and headers as the caller sent them.
    pub(crate) parts: http::request::Parts,
    /// Complete body.
    pub(crate) body: StoredBody,
    /// Identifier, deadline and key from the caller's headers.
    pub(crate) headers: RequestHeaders,
    /// Route that matched.
    pub(crate) route: RouteRule,
    /// Service selected from those of the route.
    pub(crate) service: String,
    /// Whether another instance sent the request here, which must not be sent on to a third.
    pub(crate) is_relayed: bool,
    /// Revision of the configuration that the route was taken from.
    pub(crate) configuration_revision: u64,
    /// When the request arrived.
    pub(crate) arrived_at: MonoTime,
    /// Earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: MonoTime,
    /// When the route's target latency is exceeded, counted from the caller's first attempt.
    pub(crate) target_deadline: MonoTime,
    /// Identity of the content, once it has been needed.
    pub(crate) identity: OnceLock<RequestIdentity>,
    /// What has been sent to servers so far.
    pub(crate) progress: CallProgress,
}

/// What has been sent to servers, to decide the outcome when a request is cut short.
#[derive(Debug, Default)]
pub(crate) struct CallProgress {
    /// Whether a server may be running the request now.
    pub(crate) in_flight: AtomicBool,
    /// Whether an attempt has ended without success although the server may have run the request.
    pub(crate) unclear_attempt: AtomicBool,
    /// Number of attempts sent to servers.
    pub(crate) attempts_sent: AtomicUsize,
}

impl CallProgress {
    /// Whether a server may be running the request or may have run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) || self.unclear_attempt.load(Ordering::Relaxed)
    }
}

/// Final outcome of a caller's request.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// A server answered.
    Served(Response<StoredBody>),
    /// The request has not run. Holds the reason, the time after which to retry, and the load at
    /// the time.
    Refused(RefusalReason, Duration, LoadView),
    /// The request may have run, but there is no answer.
    Failed(FailureReason),
}

impl CallOutcome {
    /// Refusal of a request whose body was evicted before any of it was sent.
    pub(crate) fn evicted() -> Self {
        let pause = body_refusal::memory_retry_after();
        Self::Refused(RefusalReason::NoMemory, pause, LoadView::default())
    }
}

/// Load of a service's servers when a request was refused.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadView {
    /// Servers that accept new requests.
    pub(crate) servers: usize,
    /// Servers ejected after failures.
    pub(crate) ejected: usize,
    /// Servers with room for another request.
    pub(crate) with_room: usize,
    /// Shortest expected completion time of the request on any of them.
    pub(crate) min_expected: Duration,
    /// Requests that were queued at this instance.
    pub(crate) waiting: usize,
}

/// Why a request was refused without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// No configuration has been received yet.
    NoConfiguration,
    /// The instance is stopping and would exit before the request's deadline.
    Stopping,
    /// No server can take the request, the route has no service to send it to, or connecting failed
    /// too often.
    NoServer,
    /// No server had room in time.
    NoRoom,
    /// The selected server is not expected to finish the request before its deadline.
    DeadlineUnreachable,
    /// The key's range is being moved, has no owner, or its owner is ejected.
    NoOwner,
    /// The server's limit is used up. Holds the time after which to retry.
    Limited(Duration),
    /// The service is keyed, but the request carries no key.
    NoKey,
    /// Servers rejected the request, and no further attempt is allowed.
    NotRun,
    /// The servers that could run the request want none from this instance. Holds the time after
    /// which to retry.
    Resting(Duration),
    /// This instance does not reach the servers that could run the request.
    Unreachable,
    /// Another instance sent the request by a configuration that does not agree with this one's.
    OtherConfiguration,
    /// The instance that the request was sent through refused it.
    Helper,
    /// The request has crashed servers. Holds the time after which to retry.
    Quarantined(Duration),
    /// The memory for requests is used up.
    NoMemory,
}

/// Why a request that may have run has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureReason {
    /// The connection to the server broke, or its answer could not be verified.
    NoAnswer,
    /// The caller's deadline or the route's timeout passed.
    TimedOut,
    /// The instance is stopping.
    Stopping,
}

impl RefusalReason {
    /// Value of the `reason` field in logs, metrics and response bodies.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::Stopping => "stopping",
            Self::NoServer => "no-server",
            Self::NoRoom => "no-room",
            Self::DeadlineUnreachable => "hopeless",
            Self::NoOwner => "no-owner",
            Self::Limited(_) => "limit",
            Self::NoKey => "no-key",
            Self::NotRun => "not-run",
            Self::Resting(_) => "resting",
            Self::Unreachable => "unreachable",
            Self::OtherConfiguration => "other-configuration",
            Self::Helper => "helper",
            Self::Quarantined(_) => "quarantined",
            Self::NoMemory => "no-memory",
        }
    }
}

impl FailureReason {
    /// Value of the `reason` field in logs, metrics and response bodies.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NoAnswer => "no-answer",
            Self::TimedOut => "timed-out",
            Self::Stopping => "stopping",
        }
    }

    /// Response status; none of them implies that the request did not run.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoAnswer => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::Stopping => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl CallerCall {
    /// Identity of the request's content.
    pub(crate) fn identity(&self) -> RequestIdentity {
        *self.identity.get_or_init(|| {
            let headers = &self.parts.headers;
            let host = headers.get(header::HOST);
            let credentials = headers.get(header::AUTHORIZATION);
            let content = RequestContent {
                method: self.parts.method.as_str(),
                host: host.and_then(|host| host.to_str().ok()).unwrap_or_default(),
                target: self.target(),
                credentials: credentials.map_or(&[], |value| value.as_bytes()),
                key: self.headers.key,
                body: &[],
            };
            RequestIdentity::with_blocks(content, &self.body.blocks())
        })
    }

    /// Hash of the path and query.
    pub(crate) fn target_hash(&self) -> TargetHash {
        TargetHash::of(self.target())
    }

    fn target(&self) -> &str {
        let target = self.parts.uri.path_and_query();
        target.map_or("", |target| target.as_str())
    }

    /// Time until the deadline; zero once it has passed.
    pub(crate) fn time_left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }

    /// Time until the target latency is exceeded; zero once it is.
    pub(crate) fn target_time_left(&self, now: MonoTime) -> Duration {
        self.target_deadline.since(now)
    }
}
