//! Author, time and write id of a configuration change.

use crate::prelude::*;

/// Metadata that is recorded with a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeMetadata {
    /// Name of the operator who makes the change.
    pub changed_by: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
    /// Unique id of the write that carries the change.
    pub write_id: String,
}

impl ChangeMetadata {
    /// Builds the audit entry of the change that created `revision`.
    pub(crate) fn entry(&self, revision: u64, change: &str) -> AuditEntry {
        let truncate = |text: &str, chars| text.chars().take(chars).collect();
        AuditEntry {
            revision,
            changed_by: truncate(&self.changed_by, AuditEntry::MAX_NAME_CHARS),
            changed_at_ms: self.changed_at_ms,
            change: truncate(change, AuditEntry::MAX_CHANGE_CHARS),
            write_id: self.write_id.clone(),
        }
    }
}
