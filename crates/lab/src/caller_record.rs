//! What became of one request, as its caller saw it.

use crate::prelude::*;

/// One request from its schedule to its end.
#[derive(Clone, Debug)]
pub(crate) struct CallerRecord {
    /// What was asked.
    pub(crate) call: ScheduledCall,
    /// Identity.
    pub(crate) id: String,
    /// When it was due.
    pub(crate) due: MonoTime,
    /// When it ended.
    pub(crate) ended: MonoTime,
    /// Whether the caller got an answer of the server.
    pub(crate) answered: bool,
    /// Attempts made.
    pub(crate) attempts: u32,
    /// What refusals said, each with the number of its attempt.
    pub(crate) claims: Vec<(u32, RunOutcome, String)>,
    /// Answers that were wrong or partial.
    pub(crate) wrong: u32,
    /// Attempts cut by a planned stop.
    pub(crate) cut: u32,
}

impl CallerRecord {
    /// Latency from which on a request counts as one that could not be served when it came.
    const TROUBLE: Duration = Duration::from_millis(150);

    /// Time from the schedule to the end.
    pub(crate) fn latency(&self) -> Duration {
        self.ended.since(self.due)
    }

    /// Whether the request could not be served when it came.
    pub(crate) fn troubled(&self) -> bool {
        !self.answered || self.latency() > Self::TROUBLE
    }

    /// Whether it was answered within its deadline.
    pub(crate) fn in_time(&self) -> bool {
        self.answered && self.latency() <= Duration::from_millis(BenchService::DEADLINE_MS)
    }

    /// Range of the hash space, out of 64 per service, by which unavailable time is counted.
    pub(crate) fn bucket(&self) -> (&'static str, u64) {
        (self.call.service, KeyHash::of(&self.call.key).0 >> 58)
    }
}
