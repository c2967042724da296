//! Schedule of a graceful stop: when the instance closes idle connections, answers the requests
//! that are still pending, and exits.
//!
//! Only these limits end a stop. If the machine was suspended past all of them, the instance still
//! answers the requests it holds before it exits.

use crate::prelude::*;

/// Points in time of a stop, counted from its start, and the time to deliver the last answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopPlan {
    /// Minimum time for which new connections and requests are accepted.
    pub(crate) min_duration: Duration,
    /// When idle connections are closed; until then all requests are accepted.
    pub(crate) close_idle_at: Duration,
    /// When requests that are still pending are answered with an error status.
    pub(crate) answer_pending_at: Duration,
    /// Earliest exit while connections are open or the instance leads keys.
    pub(crate) limit: Duration,
    /// Minimum time between the last answers and the exit.
    pub(crate) answer_delivery_time: Duration,
}

/// Current state of a stop.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StopProgress {
    /// Time since the stop began.
    pub(crate) elapsed: Duration,
    /// Time since the pending requests were answered; `None` before that.
    pub(crate) since_answered: Option<Duration>,
    /// Open connections from callers.
    pub(crate) connections: usize,
    /// Whether new connections are accepted.
    pub(crate) is_accepting: bool,
    /// Whether the instance still leads keys, because no other instance has taken over.
    pub(crate) is_leading: bool,
}

/// Next action of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopStep {
    /// Check again later.
    Wait,
    /// Close idle connections.
    CloseIdle,
    /// Answer all pending requests, close idle connections, and accept no new ones.
    AnswerPending,
    /// Accept no new connections, and check again later.
    StopListening,
    /// Exit.
    End(StopOutcome),
}

/// Why a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopOutcome {
    /// No connections and no leadership were left.
    Idle,
    /// The time limit was reached.
    Limit,
}

impl StopPlan {
    /// Whether to accept a request that arrives `elapsed` after the start of the stop and whose
    /// caller waits for `caller_timeout`. Before `close_idle_at` all requests are accepted; later
    /// ones only if their deadline comes before the pending requests are answered.
    pub(crate) fn accepts(&self, elapsed: Duration, caller_timeout: Duration) -> bool {
        elapsed < self.close_idle_at || elapsed + caller_timeout < self.answer_pending_at
    }

    /// Decides what to do next, given the current state.
    pub(crate) fn next_step(&self, progress: StopProgress) -> StopStep {
        // A leader without a successor keeps renewing grants: no other instance can take over while
        // the store is unavailable.
        let is_idle = progress.connections == 0 && !progress.is_leading;
        if is_idle && progress.elapsed >= self.min_duration {
            return match progress.is_accepting {
                true => StopStep::StopListening,
                false => StopStep::End(StopOutcome::Idle),
            };
        }
        let Some(since_answered) = progress.since_answered else {
            return match progress.elapsed {
                elapsed if elapsed >= self.answer_pending_at => StopStep::AnswerPending,
                elapsed if elapsed >= self.close_idle_at => StopStep::CloseIdle,
                _ => StopStep::Wait,
            };
        };
        if progress.elapsed >= self.limit && since_answered >= self.answer_delivery_time {
            return StopStep::End(StopOutcome::Limit);
        }
        StopStep::Wait
    }
}

impl StopOutcome {
    /// Value of the `end` field in logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Limit => "limit",
        }
    }
}

impl GatewaySettings {
    /// Part of the stop timeout that is reserved for closing sockets.
    const STOP_MARGIN: Duration = Duration::from_millis(400);
    /// Share of the stop timeout in which all requests are accepted. The platform's shutdown rule
    /// allows requests sent in the first half to be still running in the last sixth.
    const CLOSE_IDLE_SHARE: f64 = 0.48;

    /// Schedule of a graceful stop.
    pub(crate) fn stop_plan(&self) -> StopPlan {
        /// Minimum time for which new connections are accepted: the load balancer probes once per
        /// second and stops sending after two failed probes.
        const MIN_DURATION: Duration = Duration::from_millis(3_200);
        /// Share of the stop timeout during which running requests are waited for: the platform's
        /// shutdown rule allows them until the last sixth.
        const ANSWER_PENDING_SHARE: f64 = 5.0 / 6.0;
        let limit = self.stop_timeout.saturating_sub(Self::STOP_MARGIN);
        let last_answer_at = limit.saturating_sub(LAST_ANSWER_TIME);
        StopPlan {
            min_duration: MIN_DURATION.min(limit),
            close_idle_at: self.stop_timeout.mul_f64(Self::CLOSE_IDLE_SHARE),
            answer_pending_at: last_answer_at
                .max(self.stop_timeout.mul_f64(ANSWER_PENDING_SHARE))
                .min(limit),
            limit,
            answer_delivery_time: LAST_ANSWER_TIME.min(self.stop_timeout / 4),
        }
    }
}
