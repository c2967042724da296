//! Reads the bodies of callers' requests within the memory for all of them.
//!
//! Memory is taken as the bytes come: a length that is only announced keeps nobody out, and a body
//! that stops is known by then and gives way to those that go on.

use crate::prelude::*;
use hyper::body::{Body, Incoming};

/// Why a request body was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is longer than the configuration allows.
    TooLarge,
    /// The body ended early or is malformed.
    Unreadable,
    /// There is no memory for the body. Holds the bytes that were stored.
    NoMemory(MemoryDenial, usize),
    /// The body did not come in time. Holds the bytes that were stored.
    Late(PaceLimit, usize),
    /// The instance is about to end.
    Stopping,
}

/// Limits of one body.
pub(crate) struct BodyTerms<'a> {
    /// Memory for all bodies.
    pub(crate) memory: &'a Arc<MemoryBudget>,
    /// Largest length, in bytes.
    pub(crate) max_bytes: usize,
    /// Limits on the time that the body takes.
    pub(crate) limits: BodyLimits,
    /// Set when a stop answers all pending requests.
    pub(crate) stopping: &'a OneShotEvent,
    /// When the request ends.
    pub(crate) deadline: MonoTime,
    /// Priority of the route; 0 is the highest.
    pub(crate) priority: u32,
}

impl BodyError {
    /// Value of the `reason` field in logs, metrics and response bodies.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::TooLarge => "body-too-large",
            Self::Unreadable => "body-broken",
            Self::NoMemory(MemoryDenial::NoRoom, _) => "no-memory",
            Self::NoMemory(MemoryDenial::Evicted, _) => "evicted",
            Self::Late(PaceLimit::Stalled, _) => "body-stalled",
            Self::Late(PaceLimit::TooSlow, _) => "body-slow",
            Self::Late(PaceLimit::DeadlinePassed, _) => "body-late",
            Self::Stopping => RefusalReason::Stopping.label(),
        }
    }
}

/// Reads a complete body.
pub(crate) async fn read(
    body: &mut Incoming,
    terms: BodyTerms<'_>,
) -> Result<StoredBody, BodyError> {
    if body.is_end_stream() {
        return Ok(StoredBody::default());
    }
    let announced = announced_bytes(body);
    if announced.is_some_and(|bytes| bytes > terms.max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let started_at = SteadyClock.now();
    let mut pace = BodyPace::new(terms.limits, started_at, terms.deadline);
    let mut writer = BodyWriter::request(terms.memory, announced, terms.priority, started_at);
    let mut received = 0;
    loop {
        let frame = async { Ok(body.frame().await) };
        let evicted = async {
            writer.wait_evicted().await;
            Err(BodyError::NoMemory(MemoryDenial::Evicted, received))
        };
        let stopping = async {
            terms.stopping.wait().await;
            Err(BodyError::Stopping)
        };
        let late = async {
            let (ends_at, limit) = pace.next_limit();
            Timer::after(ends_at.since(SteadyClock.now())).await;
            Err(BodyError::Late(limit, received))
        };
        let ended = future::or(evicted, future::or(stopping, late));
        // What has come already is read first, so that no timer is set for a body that is there.
        let Some(frame) = future::or(frame, ended).await? else {
            break;
        };
        let frame = frame.map_err(|_| BodyError::Unreadable)?;
        let Some(piece) = frame.data_ref() else {
            continue;
        };
        if received + piece.len() > terms.max_bytes {
            return Err(BodyError::TooLarge);
        }
        let now = SteadyClock.now();
        pace.record(piece.len(), now);
        let pushed = writer.push(piece, now);
        pushed.map_err(|denial| BodyError::NoMemory(denial, received))?;
        received += piece.len();
    }
    let body = writer.finish();
    body.map_err(|denial| BodyError::NoMemory(denial, received))
}
