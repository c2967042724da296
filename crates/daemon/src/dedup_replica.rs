//! This instance's copy of the notes of one part.

use crate::prelude::*;

/// One copy of a part\'s notes.
pub(crate) struct DedupReplica {
    pub(crate) memory: DedupTable<CallerAnswer>,
    pub(crate) marks: ReplicaAuthorities,
    pub(crate) fence: FenceToken,
    /// Members of the part's trio that hold our whole memory.
    pub(crate) told: Vec<InstanceId>,
}

impl Default for DedupReplica {
    fn default() -> Self {
        Self {
            memory: DedupTable::new(DedupLimits::default()),
            marks: ReplicaAuthorities::default(),
            fence: FenceToken::default(),
            told: Vec::new(),
        }
    }
}

impl DedupReplica {
    /// Takes in how known requests of an earlier leader ended, which can't make any run again.
    pub(crate) fn learn_ends(&mut self, changes: Vec<DedupChange>) {
        for change in changes {
            if let DedupChange::Learn(id, entry) = change
                && matches!(entry.stage, RunStage::Ran(_))
                && self.memory.get(id).is_some()
            {
                self.memory.merge(id, entry);
            }
        }
    }

    pub(crate) fn take_in(&mut self, changes: Vec<DedupChange>) {
        for change in changes {
            match change {
                DedupChange::Learn(id, entry) => self.memory.merge(id, entry),
                DedupChange::Withdraw(id, attempt) => self.memory.withdraw(id, attempt),
            }
        }
    }
}
