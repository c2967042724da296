//! The rule that a configuration never reverts.

use crate::prelude::*;

/// Configuration in force on this instance.
#[derive(Clone, Debug, Default)]
pub struct RevisionGate {
    head: Option<ConfigurationHead>,
}

/// What became of an offered configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionVerdict {
    /// In force from now on.
    Applied,
    /// Already in force.
    Same,
    /// Older than the one in force, dropped.
    Older,
}

impl RevisionGate {
    /// Offers a configuration from the store, a watch or a peer.
    pub fn offer(&mut self, head: &ConfigurationHead) -> RevisionVerdict {
        let current = self.revision();
        match &self.head {
            Some(_) if head.revision < current => RevisionVerdict::Older,
            Some(_) if head.revision == current => RevisionVerdict::Same,
            _ => {
                self.head = Some(head.clone());
                RevisionVerdict::Applied
            }
        }
    }

    /// Configuration in force, none before the first.
    pub fn head(&self) -> Option<&ConfigurationHead> {
        self.head.as_ref()
    }

    /// Revision in force, 0 before the first.
    pub fn revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.revision)
    }
}
