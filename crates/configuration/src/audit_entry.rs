//! Audit records of accepted configuration changes.

use crate::prelude::*;

/// Audit record of one accepted change: its author, time and summary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Revision created by the change.
    pub revision: u64,
    /// Name of the operator who made the change.
    pub changed_by: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
    /// Human-readable summary of the change.
    pub change: String,
    /// Unique id of the write that carried the change.
    pub write_id: String,
}

impl AuditEntry {
    /// Maximum length of a change summary, in characters; longer ones are truncated.
    pub const MAX_CHANGE_CHARS: usize = 240;
    /// Maximum length of an operator name, in characters; longer ones are truncated.
    pub const MAX_NAME_CHARS: usize = 64;
}
