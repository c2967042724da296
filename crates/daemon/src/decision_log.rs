//! Recent decisions with their reasons, for dumps and explanations.

use crate::prelude::*;
use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

/// A bounded ring of decisions.
#[derive(Default)]
pub(crate) struct DecisionLog {
    entries: Mutex<VecDeque<DecisionEntry>>,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct DecisionEntry {
    /// When, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// Part, server or instance that it concerns.
    pub(crate) subject: String,
    /// What was decided.
    pub(crate) decision: String,
    /// Why.
    pub(crate) reason: String,
}

impl DecisionLog {
    /// Decisions kept.
    pub(crate) const MAX_ENTRIES: usize = 256;

    /// Notes a decision on `subject`, dropping the oldest one when full.
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

    /// Latest decisions, newest first, on `subject` or on all.
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
