//! This instance's copy of the notes of one part.

use crate::prelude::*;

/// One copy of a part\'s notes.
pub(crate) struct PartNotes {
    pub(crate) memory: DedupTable<CallerAnswer>,
    pub(crate) marks: NotesMarks,
    pub(crate) fence: FenceToken,
    /// Members of the part's trio that hold our whole memory.
    pub(crate) told: Vec<InstanceId>,
}

impl Default for PartNotes {
    fn default() -> Self {
        Self {
            memory: DedupTable::new(DedupLimits::default()),
            marks: NotesMarks::default(),
            fence: FenceToken::default(),
            told: Vec::new(),
        }
    }
}

impl PartNotes {
    /// Takes in how known requests of an earlier leader ended, which can't make any run again.
    pub(crate) fn learn_ends(&mut self, changes: Vec<NotedChange>) {
        for change in changes {
            if let NotedChange::Learn(id, entry) = change
                && matches!(entry.stage, RunStage::Ran(_))
                && self.memory.get(id).is_some()
            {
                self.memory.merge(id, entry);
            }
        }
    }

    pub(crate) fn take_in(&mut self, changes: Vec<NotedChange>) {
        for change in changes {
            match change {
                NotedChange::Learn(id, entry) => self.memory.merge(id, entry),
                NotedChange::Withdraw(id, attempt) => self.memory.withdraw(id, attempt),
            }
        }
    }
}
