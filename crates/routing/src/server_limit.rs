//! Limit on the rate of requests that a server names in its answers.
//!
//! Answers of several connections may be read out of order. An answer without a limit lifts it only
//! if its request was sent after the limit was last named.

use crate::prelude::*;

/// What an answer of a server says about its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// The server names no limit.
    #[default]
    Unlimited,
    /// Requests per second that the server accepts from all instances together.
    PerSecond(f64),
    /// The server names a limit that cannot be read; an earlier one stays in force.
    Unreadable,
}

/// Change of a limit after an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The limit is as before.
    Unchanged,
    /// The server names a limit, in requests per second, for the first time or one that differs
    /// much from the last.
    Named(f64),
    /// The server no longer names a limit.
    Lifted,
}

/// Limit of one server as this instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLimit {
    per_second: Option<f64>,
    reported: f64,
    named_at: MonoTime,
}

impl ServerLimit {
    /// Relative difference from which a change of the limit is reported.
    const REPORTED_CHANGE: f64 = 0.25;

    /// Applies the notice of an answer to a request that was sent at `sent_at`.
    pub fn apply(&mut self, notice: LimitNotice, sent_at: MonoTime, now: MonoTime) -> LimitChange {
        match notice {
            LimitNotice::PerSecond(limit) => {
                let was_unlimited = self.per_second.is_none();
                self.per_second = Some(limit);
                self.named_at = now;
                let difference = (limit - self.reported).abs();
                if !was_unlimited && difference <= self.reported * Self::REPORTED_CHANGE {
                    return LimitChange::Unchanged;
                }
                self.reported = limit;
                LimitChange::Named(limit)
            }
            LimitNotice::Unlimited if self.per_second.is_some() && sent_at > self.named_at => {
                self.per_second = None;
                LimitChange::Lifted
            }
            LimitNotice::Unlimited | LimitNotice::Unreadable => LimitChange::Unchanged,
        }
    }

    /// Requests per second that the server accepts from all instances together; `None` without a
    /// limit.
    pub fn per_second(&self) -> Option<f64> {
        self.per_second
    }
}
