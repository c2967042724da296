//! Recent decisions of an instance with their reasons, for operators.

use crate::prelude::*;
use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

/// Ring buffer of the latest decisions.
#[derive(Default)]
pub(crate) struct DecisionLog {
    entries: Mutex<VecDeque<DecisionEntry>>,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct DecisionEntry {
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// Part, server or instance that it concerns.
    pub(crate) subject: String,
    /// What was decided.
    pub(crate) decision: String,
    /// Why it was decided.
    pub(crate) reason: String,
}

impl DecisionLog {
    /// Largest number of decisions kept.
    pub(crate) const MAX_ENTRIES: usize = 256;

    /// Logs and records a decision on `subject`; drops the oldest one when full.
    pub(crate) fn record(
        &self,
        subject: impl Display,
        decision: impl Display,
        reason: impl Display,
    ) {
        let entry = DecisionEntry {
            at_ms: unix_time_ms(),
            subject: subject.to_string(),
            decision: decision.to_string(),
            reason: reason.to_string(),
        };
        log::info!(
            subject = entry.subject.as_str(),
            reason = entry.reason.as_str();
            "{}", entry.decision
        );
        let mut entries = self.entries.lock().unwrap();
        if entries.len() >= Self::MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// At most `max` latest decisions, newest first, on `subject` or on all subjects.
    pub(crate) fn latest(&self, subject: Option<&str>, max: usize) -> Vec<DecisionEntry> {
        self.entries
            .lock()
            .unwrap()
            .iter()
            .rev()
            .filter(|entry| subject.is_none_or(|subject| entry.subject == subject))
            .take(max)
            .cloned()
            .collect()
    }
}

/// The wall clock in milliseconds since the Unix epoch.
pub(crate) fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_millis() as u64)
}
