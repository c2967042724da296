//! Simulated store of one record with conditional writes, which keeps copies of itself.

use geraniummast_routing::KeyRecord;

/// One record and its revision.
pub(crate) struct FakeStore {
    pub(crate) record: Option<KeyRecord>,
    pub(crate) revision: u64,
    /// Rises by one with each restore.
    pub(crate) era: u64,
    /// Copies of earlier records, with times and revisions.
    copies: Vec<(u64, Option<KeyRecord>, u64)>,
}

impl FakeStore {
    pub(crate) fn new() -> Self {
        Self {
            record: None,
            revision: 0,
            era: 1,
            copies: vec![(0, None, 0)],
        }
    }

    /// Applies a write if the record is still at revision `base`; returns the new revision. The store
    /// does not know in which era the revision was given out.
    pub(crate) fn write(&mut self, base: u64, record: KeyRecord) -> Option<u64> {
        if self.revision != base {
            return None;
        }
        // A write that changes nothing does not change the revision.
        if self.record.as_ref() != Some(&record) {
            self.revision += 1;
            self.record = Some(record);
        }
        Some(self.revision)
    }

    /// Keeps a copy of the present record if it has changed.
    pub(crate) fn keep_copy(&mut self, now: u64) {
        let last = self.copies.last();
        let is_kept = last.is_some_and(|(_, record, revision)| {
            *revision == self.revision && *record == self.record
        });
        if !is_kept {
            self.copies.push((now, self.record.clone(), self.revision));
        }
    }

    /// Goes back to the record of an earlier time. Its revision is in force again, and those after it
    /// are given out again.
    pub(crate) fn restore(&mut self, time: u64) {
        let copy = self.copies.iter().rfind(|(at, ..)| *at <= time);
        let Some((_, record, revision)) = copy.cloned() else {
            return;
        };
        self.record = record;
        self.revision = revision;
        self.era += 1;
    }
}
