//! Which revisions of the store are known.
//!
//! Each change has a revision of its own. If each number up to a revision is that of a known
//! change, no change is missing, whatever kind of objects it was of. A store that leaves numbers
//! out only makes the proof impossible.

use crate::prelude::*;
use std::collections::BTreeSet;

/// Revisions whose changes are known.
#[derive(Debug, Default)]
pub(crate) struct RevisionCoverage {
    /// All changes up to this revision are known.
    complete: StoreRevision,
    /// Known changes after it.
    later: BTreeSet<StoreRevision>,
}

impl RevisionCoverage {
    /// Largest number of changes that are remembered beyond the complete ones.
    const MAX_LATER: usize = 1_024;

    pub(crate) fn add(&mut self, revision: StoreRevision) {
        if revision <= self.complete {
            return;
        }
        self.later.insert(revision);
        self.close_gap();
        if self.later.len() > Self::MAX_LATER {
            self.later.pop_last();
        }
    }

    pub(crate) fn complete(&mut self, revision: StoreRevision) {
        if revision <= self.complete {
            return;
        }
        self.complete = revision;
        self.later = self.later.split_off(&revision.next());
        self.close_gap();
    }

    pub(crate) fn complete_revision(&self) -> StoreRevision {
        self.complete
    }

    pub(crate) fn covers(&self, revision: StoreRevision) -> bool {
        revision <= self.complete
    }

    fn close_gap(&mut self) {
        while self.later.first() == Some(&self.complete.next()) {
            self.later.pop_first();
            self.complete = self.complete.next();
        }
    }
}
