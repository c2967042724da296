//! What is kept of each accepted change.

use crate::prelude::*;

/// One accepted revision: who, when and what.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Revision that the change made.
    pub revision: u64,
    /// Who made the change.
    pub changed_by: String,
    /// When, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
    /// What changed, in words.
    pub change: String,
    /// Identity of the write.
    pub write_id: String,
}

impl AuditEntry {
    /// Longest description of a change, in characters.
    pub const MAX_CHANGE_CHARS: usize = 240;
    /// Longest name of an operator, in characters.
    pub const MAX_NAME_CHARS: usize = 64;
}
