//! Count, health and budget of one client's calls.
//!
//! A token bucket bounds calls, so that no fault makes an instance call the store without end. A
//! call that finds the bucket empty fails without leaving.

use crate::prelude::*;

/// Kinds of calls, as the store counts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Read of one object.
    Read,
    /// Conditional write or removal.
    Write,
    /// Waiting watch.
    Watch,
    /// Reading of the platform's list of instances.
    List,
}

/// Calls, health and what is left of the budget.
#[derive(Debug)]
pub struct CallMeter {
    calls: [u64; CallKind::ALL.len()],
    failures: u32,
    last_took: Option<Duration>,
    tokens: f64,
    filled: MonoTime,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Read, Self::Write, Self::Watch, Self::List];

    /// Name in dumps and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
            Self::List => "list",
        }
    }
}

impl CallMeter {
    /// Calls that may be made at once.
    pub const BURST: f64 = 200.0;
    /// Calls per second in the long run.
    pub const RATE: f64 = 50.0;
    /// Duration from which an answer counts as late.
    const SLOW: Duration = Duration::from_millis(200);
    /// Failures in a row from which the store counts as down.
    const DOWN_AFTER: u32 = 2;

    /// Meter with a full budget.
    pub fn new(now: MonoTime) -> Self {
        Self {
            calls: [0; CallKind::ALL.len()],
            failures: 0,
            last_took: None,
            tokens: Self::BURST,
            filled: now,
        }
    }

    /// Takes a call out of the budget and counts it; false when nothing is left.
    pub fn start(&mut self, kind: CallKind, now: MonoTime) -> bool {
        let gained = now.since(self.filled).as_secs_f64() * Self::RATE;
        self.tokens = (self.tokens + gained).min(Self::BURST);
        self.filled = self.filled.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.calls[kind as usize] += 1;
        true
    }

    /// Notes an answer that took `took` besides the time it was asked to wait.
    pub fn answered(&mut self, took: Duration) {
        self.failures = 0;
        self.last_took = Some(took);
    }

    /// Notes a call without an answer.
    pub fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Health by the latest calls.
    pub fn state(&self) -> StoreState {
        match (self.failures >= Self::DOWN_AFTER, self.last_took) {
            (true, _) => StoreState::Down,
            (false, Some(took)) if took >= Self::SLOW => StoreState::Slow,
            (false, Some(_)) => StoreState::Up,
            (false, None) => StoreState::Unknown,
        }
    }

    /// Calls by kind.
    pub fn calls(&self) -> IndexMap<String, u64> {
        let kinds = CallKind::ALL.iter().zip(self.calls);
        kinds
            .map(|(kind, calls)| (kind.as_str().to_string(), calls))
            .collect()
    }

    /// Calls left in the budget.
    pub fn left(&self) -> f64 {
        self.tokens
    }
}
