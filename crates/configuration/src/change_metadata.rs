//! Who makes a change, and when.

use crate::prelude::*;

/// What a change carries besides its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeMetadata {
    /// Who makes the change.
    pub changed_by: String,
    /// When, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
    /// Identity of the write.
    pub write_id: String,
}

impl ChangeMetadata {
    /// Entry of the audit for the change that made `revision`.
    pub(crate) fn entry(&self, revision: u64, change: &str) -> AuditEntry {
        let cut = |text: &str, chars| text.chars().take(chars).collect();
        AuditEntry {
            revision,
            changed_by: cut(&self.changed_by, AuditEntry::MAX_NAME_CHARS),
            changed_at_ms: self.changed_at_ms,
            change: cut(change, AuditEntry::MAX_CHANGE_CHARS),
            write_id: self.write_id.clone(),
        }
    }
}
