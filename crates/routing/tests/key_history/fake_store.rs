//! Simulated store of one record with conditional writes.

use geraniummast_routing::KeyRecord;

/// One record and its revision.
#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) record: Option<KeyRecord>,
    pub(crate) revision: u64,
}

impl FakeStore {
    /// Applies a write if the record is still at revision `base`; returns the new revision.
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
}
