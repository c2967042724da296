//! Limit on the rate of requests that a server names in its answers.
//!
//! Answers of several connections may be read out of order. An answer without a limit lifts it only
//! if its request was sent after the limit was last named. Instances tell each other of limits;
//! the latest word counts.

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

/// Change of a limit after an answer or a report of another instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The limit is as before, or differs little.
    Unchanged,
    /// The server names a limit, in requests per second, for the first time or one that differs
    /// much from the last.
    Named(f64),
    /// The server no longer names a limit.
    Lifted,
}

/// What an instance knows of a server's limit, for other instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Requests per second; `None` if the limit was lifted.
    pub per_second: Option<f64>,
    /// Time since the answer that said so.
    pub age: Duration,
}

/// Limit of one server as this instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLimit {
    latest: Option<LatestWord>,
    /// Limit of the last change that was returned to the caller.
    reported: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct LatestWord {
    per_second: Option<f64>,
    at: MonoTime,
    /// Whether an answer to this instance said so.
    is_own: bool,
}

impl ServerLimit {
    /// Relative difference from which a change of the limit is returned.
    const REPORTED_CHANGE: f64 = 0.25;
    /// Time for which a limit stays in force if nothing is heard of it.
    const MEMORY: Duration = Duration::from_secs(30);
    /// Time for which other instances are told that a limit was lifted.
    const LIFTED_REPORT_TIME: Duration = Duration::from_secs(3);

    /// Applies the notice of an answer to a request that was sent at `sent_at`.
    pub fn apply(&mut self, notice: LimitNotice, sent_at: MonoTime, now: MonoTime) -> LimitChange {
        match notice {
            LimitNotice::PerSecond(limit) => self.set(Some(limit), now, true),
            LimitNotice::Unlimited if self.is_named_before(sent_at) => self.set(None, now, true),
            LimitNotice::Unlimited | LimitNotice::Unreadable => LimitChange::Unchanged,
        }
    }

    /// Applies the report of another instance.
    pub fn apply_report(&mut self, report: LimitReport, now: MonoTime) -> LimitChange {
        let at = now.before(report.age);
        if self.latest.is_some_and(|latest| latest.at >= at) {
            return LimitChange::Unchanged;
        }
        self.set(report.per_second, at, false)
    }

    /// Requests per second that the server accepts from all instances together; `None` without a
    /// limit.
    pub fn per_second(&self, now: MonoTime) -> Option<f64> {
        let latest = self.latest?;
        latest
            .per_second
            .filter(|_| now.since(latest.at) < Self::MEMORY)
    }

    /// What to tell other instances; `None` if there is nothing of interest. Without `relays`, only
    /// what answers to this instance said is told.
    pub fn report(&self, relays: bool, now: MonoTime) -> Option<LimitReport> {
        let latest = self.latest.filter(|latest| relays || latest.is_own)?;
        let age = now.since(latest.at);
        let time = match latest.per_second {
            Some(_) => Self::MEMORY,
            None => Self::LIFTED_REPORT_TIME,
        };
        (age < time).then_some(LimitReport {
            per_second: latest.per_second,
            age,
        })
    }

    fn is_named_before(&self, sent_at: MonoTime) -> bool {
        self.latest
            .is_some_and(|latest| latest.per_second.is_some() && latest.at < sent_at)
    }

    fn set(&mut self, per_second: Option<f64>, at: MonoTime, is_own: bool) -> LimitChange {
        self.latest = Some(LatestWord {
            per_second,
            at,
            is_own,
        });
        let reported = self.reported;
        match (per_second, reported) {
            (None, None) => LimitChange::Unchanged,
            (None, Some(_)) => {
                self.reported = None;
                LimitChange::Lifted
            }
            (Some(limit), Some(reported))
                if (limit - reported).abs() <= reported * Self::REPORTED_CHANGE =>
            {
                LimitChange::Unchanged
            }
            (Some(limit), _) => {
                self.reported = per_second;
                LimitChange::Named(limit)
            }
        }
    }
}
