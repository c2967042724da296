//! Outcome of one request as its caller observed it.

use crate::prelude::*;

/// Request of a caller, with its attempts and outcome.
#[derive(Clone, Debug)]
pub(crate) struct CallerRecord {
    /// Request as scheduled.
    pub(crate) call: ScheduledCall,
    /// Id of the request, the same in all attempts.
    pub(crate) id: String,
    /// Scheduled time.
    pub(crate) due: MonoTime,
    /// End of the last attempt.
    pub(crate) ended: MonoTime,
    /// Whether the caller got a correct answer of a server.
    pub(crate) answered: bool,
    /// Number of attempts made.
    pub(crate) attempts: u32,
    /// Refusals: number of the attempt, whether the request is said to have run, and reason.
    pub(crate) refusals: Vec<(u32, RunOutcome, String)>,
    /// Number of incorrect or incomplete answers.
    pub(crate) wrong_answers: u32,
    /// Number of attempts cut by a planned stop.
    pub(crate) cut_attempts: u32,
}

impl CallerRecord {
    /// Latency above which a request counts as unavailable at its scheduled time.
    const MAX_NORMAL_LATENCY: Duration = Duration::from_millis(150);

    /// Time from the scheduled time to the end of the request.
    pub(crate) fn latency(&self) -> Duration {
        self.ended.since(self.due)
    }

    /// Whether the request failed or took too long, so that its key counts as unavailable.
    pub(crate) fn was_unavailable(&self) -> bool {
        !self.answered || self.latency() > Self::MAX_NORMAL_LATENCY
    }

    /// Whether the request was answered within its deadline.
    pub(crate) fn in_time(&self) -> bool {
        self.answered && self.latency() <= Duration::from_millis(ClusterService::DEADLINE_MS)
    }

    /// Service and range of the key's hash, one of 64, for which unavailable time is determined.
    pub(crate) fn key_range(&self) -> (&'static str, u64) {
        (self.call.service, KeyHash::of(&self.call.key).0 >> 58)
    }
}
