//! Servers and leaders that a record of the store has named, and that are lost with it.

use crate::prelude::*;

impl ServerIncarnation {
    /// Holder of a range that no record names any more.
    pub fn unknown() -> Self {
        Self {
            id: String::new(),
            born: 0,
        }
    }

    /// Whether this stands for a holder that no record names any more.
    pub fn is_unknown(&self) -> bool {
        self.id.is_empty()
    }
}

impl InstanceIncarnation {
    /// Leader that no record names any more.
    pub fn unknown() -> Self {
        Self {
            instance: String::new(),
            incarnation: 0,
        }
    }

    /// Whether this stands for a leader that no record names any more.
    pub fn is_unknown(&self) -> bool {
        self.instance.is_empty()
    }
}
