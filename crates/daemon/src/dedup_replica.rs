//! This instance's replica of one part's dedup table.

use crate::prelude::*;

/// Dedup table of a part with the authorities under which it was written.
pub(crate) struct DedupReplica {
    pub(crate) table: DedupTable<CallerAnswer>,
    pub(crate) authorities: ReplicaAuthorities,
    /// Updates under a lower authority are refused.
    pub(crate) fence: FenceToken,
    /// Members of the part that hold the entire table; kept while this instance leads.
    pub(crate) synced_members: Vec<InstanceId>,
}

impl Default for DedupReplica {
    fn default() -> Self {
        Self {
            table: DedupTable::new(DedupLimits::default()),
            authorities: ReplicaAuthorities::default(),
            fence: FenceToken::default(),
            synced_members: Vec::new(),
        }
    }
}

impl DedupReplica {
    /// Merges from an earlier leader's update only how requests known here ended. This is safe
    /// below the fence: it cannot make any request run again.
    pub(crate) fn merge_outcomes(&mut self, changes: Vec<DedupChange>) {
        for change in changes {
            if let DedupChange::Merge(id, entry) = change
                && matches!(entry.stage, RunStage::Ran(_))
                && self.table.get(id).is_some()
            {
                self.table.merge(id, entry);
            }
        }
    }

    /// Applies all changes of an update that the fence admits.
    pub(crate) fn apply(&mut self, changes: Vec<DedupChange>) {
        for change in changes {
            match change {
                DedupChange::Merge(id, entry) => self.table.merge(id, entry),
                DedupChange::Withdraw(id, attempt) => self.table.withdraw(id, attempt),
            }
        }
    }
}
