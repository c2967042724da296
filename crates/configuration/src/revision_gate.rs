//! Protection against applying an older configuration after a newer one.

use crate::prelude::*;

/// Configuration in force on this instance; accepts only newer revisions.
#[derive(Clone, Debug, Default)]
pub struct RevisionGate {
    head: Option<ConfigurationHead>,
}

/// Result of offering a configuration to a [`RevisionGate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionVerdict {
    /// The offered configuration is newer and now in force.
    Applied,
    /// The offered revision was already in force.
    Unchanged,
    /// The offered configuration is older than the one in force and was discarded.
    Outdated,
}

impl RevisionGate {
    /// Applies a configuration received from the store, a watch or a peer, if it is newer.
    pub fn offer(&mut self, head: &ConfigurationHead) -> RevisionVerdict {
        let current = self.revision();
        match &self.head {
            Some(_) if head.revision < current => RevisionVerdict::Outdated,
            Some(_) if head.revision == current => RevisionVerdict::Unchanged,
            _ => {
                self.head = Some(head.clone());
                RevisionVerdict::Applied
            }
        }
    }

    /// Configuration in force, or `None` before the first one is applied.
    pub fn head(&self) -> Option<&ConfigurationHead> {
        self.head.as_ref()
    }

    /// Revision in force, or 0 before the first one is applied.
    pub fn revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.revision)
    }
}
