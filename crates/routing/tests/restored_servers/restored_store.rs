//! Store of server entries that can be restored from an older copy.

use geraniummast_routing::*;
use indexmap::IndexMap;

/// Entries with the revisions of their last changes.
pub(crate) type StoredEntries = IndexMap<String, (ServerEntry, StoreRevision)>;

/// State of the store at a moment.
#[derive(Clone)]
struct StoreCopy {
    at_ms: u64,
    number: u64,
    entries: StoredEntries,
}

/// The store, with copies of all its earlier states.
pub(crate) struct RestoredStore {
    pub(crate) era: u64,
    pub(crate) number: u64,
    pub(crate) entries: StoredEntries,
    /// Changes of the present era, each with the entry or `None` for a removal.
    pub(crate) changes: Vec<(StoreRevision, String, Option<ServerEntry>)>,
    copies: Vec<StoreCopy>,
}

impl RestoredStore {
    pub(crate) fn new() -> Self {
        Self {
            era: 1,
            number: 1,
            entries: StoredEntries::new(),
            changes: Vec::new(),
            copies: Vec::new(),
        }
    }

    pub(crate) fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.number)
    }

    /// Writes an entry. One that differs only in its count changes without a revision.
    pub(crate) fn write(&mut self, entry: &ServerEntry) {
        let id = entry.incarnation.id.clone();
        if let Some((known, _)) = self.entries.get_mut(&id) {
            let counted = ServerEntry {
                sequence: entry.sequence,
                ..known.clone()
            };
            if counted == *entry {
                *known = counted;
                return;
            }
        }
        self.number += 1;
        let revision = self.revision();
        self.entries.insert(id.clone(), (entry.clone(), revision));
        self.changes.push((revision, id, Some(entry.clone())));
    }

    pub(crate) fn remove(&mut self, id: &str) {
        if self.entries.shift_remove(id).is_some() {
            self.number += 1;
            self.changes.push((self.revision(), id.into(), None));
        }
    }

    /// Keeps a copy of the present state.
    pub(crate) fn copy(&mut self, at_ms: u64) {
        let copy = StoreCopy {
            at_ms,
            number: self.number,
            entries: self.entries.clone(),
        };
        self.copies.push(copy);
    }

    /// Goes back to the copy of a time and begins the next era, of which all entries are.
    pub(crate) fn restore(&mut self, to_ms: u64) {
        self.copies.retain(|copy| copy.at_ms <= to_ms);
        let Some(copy) = self.copies.last().cloned() else {
            return;
        };
        self.era += 1;
        self.number = copy.number;
        self.entries = copy.entries;
        for (_, revision) in self.entries.values_mut() {
            revision.era = self.era;
        }
        self.changes.clear();
    }
}
