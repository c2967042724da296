//! What became of a write whose answer was lost or refused.

use crate::prelude::*;

/// Fate of one write, judged from the head as read afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteFate {
    /// It was accepted, whatever came after it.
    Accepted(AuditEntry),
    /// Another write made the revision that it was meant to make.
    LostTo(AuditEntry),
    /// The head is still the one that it builds on; it may yet arrive.
    Open,
    /// The head has moved on further than it remembers.
    Forgotten,
}

impl WriteFate {
    /// Fate of the write `write_id` that builds on revision `base`.
    pub fn of(head: &ConfigurationHead, write_id: &str, base: u64) -> Self {
        if let Some(entry) = head.entry_of(write_id) {
            return Self::Accepted(entry.clone());
        }
        if head.revision <= base {
            return Self::Open;
        }
        let winner = head.history.iter().find(|entry| entry.revision == base + 1);
        winner.map_or(Self::Forgotten, |entry| Self::LostTo(entry.clone()))
    }
}
