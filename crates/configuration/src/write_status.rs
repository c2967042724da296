//! Outcome of a write whose response was lost, or that was rejected.

use crate::prelude::*;

/// Status of a write, determined from a configuration head that was read after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// The write was accepted; later changes may have followed.
    Accepted(AuditEntry),
    /// Another write created the revision that this write was meant to create.
    LostTo(AuditEntry),
    /// The base revision is still in force, so that the write may still arrive.
    Pending,
    /// The history no longer covers the revision that the write was meant to create.
    OutsideHistory,
}

impl WriteStatus {
    /// Determines the status of the write `write_id` that is based on revision `base`.
    pub fn of(head: &ConfigurationHead, write_id: &str, base: u64) -> Self {
        if let Some(entry) = head.find_entry(write_id) {
            return Self::Accepted(entry.clone());
        }
        if head.revision <= base {
            return Self::Pending;
        }
        let winner = head.history.iter().find(|entry| entry.revision == base + 1);
        winner.map_or(Self::OutsideHistory, |entry| Self::LostTo(entry.clone()))
    }
}
