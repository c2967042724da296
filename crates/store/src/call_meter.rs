//! Call counts, observed store health and rate limit of one store client.
//!
//! A token bucket limits the call rate, so that no fault makes an instance overload the store. A
//! call fails without being sent if the bucket is empty.

use crate::prelude::*;

/// Kind of call, by which calls are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Read of a single object.
    Read,
    /// Conditional write or removal of an object.
    Write,
    /// Long-polling watch for changes.
    Watch,
    /// Read of the platform's list of instances.
    List,
}

/// Counts calls, derives the store's health from them and limits their rate.
#[derive(Debug)]
pub struct CallMeter {
    calls: [u64; CallKind::ALL.len()],
    failures: u32,
    last_duration: Option<Duration>,
    tokens: f64,
    refilled_at: MonoTime,
}

impl CallKind {
    /// All kinds of calls.
    pub const ALL: [Self; 4] = [Self::Read, Self::Write, Self::Watch, Self::List];

    /// Name of the kind in dumps and metrics.
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
    /// Maximum number of calls in a burst (capacity of the token bucket).
    pub const BURST_CALLS: f64 = 200.0;
    /// Sustained call rate (refill rate of the token bucket).
    pub const CALLS_PER_SECOND: f64 = 50.0;
    /// Response time from which the store counts as slow.
    const SLOW_RESPONSE: Duration = Duration::from_millis(200);
    /// Number of consecutive failures from which the store counts as down.
    const DOWN_AFTER_FAILURES: u32 = 2;

    /// Creates a meter with a full token bucket.
    pub fn new(now: MonoTime) -> Self {
        Self {
            calls: [0; CallKind::ALL.len()],
            failures: 0,
            last_duration: None,
            tokens: Self::BURST_CALLS,
            refilled_at: now,
        }
    }

    /// Takes a token and counts the call; returns false if the bucket is empty.
    pub fn try_start(&mut self, kind: CallKind, now: MonoTime) -> bool {
        let added_tokens = now.since(self.refilled_at).as_secs_f64() * Self::CALLS_PER_SECOND;
        self.tokens = (self.tokens + added_tokens).min(Self::BURST_CALLS);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.calls[kind as usize] += 1;
        true
    }

    /// Records a response; `duration` excludes the time that the store was asked to wait.
    pub fn record_response(&mut self, duration: Duration) {
        self.failures = 0;
        self.last_duration = Some(duration);
    }

    /// Records a call that got no response or a server error.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Health of the store according to the latest calls.
    pub fn state(&self) -> StoreState {
        match (
            self.failures >= Self::DOWN_AFTER_FAILURES,
            self.last_duration,
        ) {
            (true, _) => StoreState::Down,
            (false, Some(duration)) if duration >= Self::SLOW_RESPONSE => StoreState::Slow,
            (false, Some(_)) => StoreState::Up,
            (false, None) => StoreState::Unknown,
        }
    }

    /// Number of calls by kind.
    pub fn calls(&self) -> IndexMap<String, u64> {
        let kinds = CallKind::ALL.iter().zip(self.calls);
        kinds
            .map(|(kind, calls)| (kind.as_str().to_string(), calls))
            .collect()
    }

    /// Number of tokens left in the bucket.
    pub fn remaining(&self) -> f64 {
        self.tokens
    }
}
