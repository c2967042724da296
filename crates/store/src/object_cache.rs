//! Latest known state of the store's objects, as handed on between instances.
//!
//! An object's version never goes back, whichever way its changes arrive and in whatever order.

use crate::prelude::*;

/// Objects by path, and how far they are complete.
#[derive(Debug, Default)]
pub struct ObjectCache {
    objects: IndexMap<ObjectPath, WatchEvent>,
    progress: CacheProgress,
    /// Version of the latest removal that is no longer remembered.
    forgotten: ObjectVersion,
}

/// How far a cache has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheProgress {
    /// Version up to which all changes are known.
    pub complete: ObjectVersion,
    /// Latest version of any object known.
    pub newest: ObjectVersion,
}

impl CacheProgress {
    /// Whether a cache at `other` has something to tell one at `self`.
    pub fn is_behind(&self, other: &Self) -> bool {
        other.complete > self.complete || other.newest > self.newest
    }
}

impl ObjectCache {
    /// Removals remembered.
    pub const MAX_REMOVALS: usize = 1_024;

    /// How far the cache has come.
    pub fn progress(&self) -> CacheProgress {
        self.progress
    }

    /// Takes in one object's state; false when it is not newer than the known one.
    pub fn apply(&mut self, event: &WatchEvent) -> bool {
        let known = self.objects.get(&event.path);
        if event.version <= self.forgotten && known.is_none() && event.value.is_none()
            || known.is_some_and(|known| known.version >= event.version)
        {
            return false;
        }
        self.progress.newest = self.progress.newest.max(event.version);
        self.objects.insert(event.path.clone(), event.clone());
        self.forget_removals();
        true
    }

    /// Takes in a batch that starts no later than the cache is complete; returns what was new.
    pub fn apply_batch(&mut self, batch: WatchBatch) -> Vec<WatchEvent> {
        let fresh = batch.events.into_iter().filter(|event| self.apply(event));
        let fresh: Vec<_> = fresh.collect();
        self.progress.complete = self.progress.complete.max(batch.version);
        self.progress.newest = self.progress.newest.max(self.progress.complete);
        fresh
    }

    /// Takes in a batch of all objects that exist; objects that are not in it were removed.
    pub fn apply_snapshot(&mut self, mut batch: WatchBatch) -> Vec<WatchEvent> {
        let listed: IndexSet<_> = batch
            .events
            .iter()
            .map(|event| event.path.clone())
            .collect();
        let known = self.objects.values();
        let removed = known.filter(|event| {
            event.value.is_some() && event.version <= batch.version && !listed.contains(&event.path)
        });
        let removals = removed.map(|event| WatchEvent {
            path: event.path.clone(),
            version: batch.version,
            value: None,
        });
        batch.events.extend(removals.collect::<Vec<_>>());
        self.apply_batch(batch)
    }

    /// Objects that changed after `after`, and the version up to which they are complete.
    pub fn changes_since(&self, after: ObjectVersion) -> WatchBatch {
        let changed = self.objects.values().filter(|event| event.version > after);
        let mut events: Vec<_> = changed.cloned().collect();
        events.sort_by_key(|event| event.version);
        WatchBatch {
            version: self.progress.complete,
            events,
        }
    }

    /// Whether a removal after `after` may no longer be remembered.
    pub fn has_discarded_removals(&self, after: ObjectVersion) -> bool {
        after < self.forgotten
    }

    fn forget_removals(&mut self) {
        let removed = self.objects.values().filter(|event| event.value.is_none());
        let mut versions: Vec<_> = removed.map(|event| event.version).collect();
        if versions.len() <= Self::MAX_REMOVALS {
            return;
        }
        versions.sort_unstable();
        let oldest_kept = versions[versions.len() - Self::MAX_REMOVALS / 2];
        self.objects
            .retain(|_, event| event.value.is_some() || event.version >= oldest_kept);
        self.forgotten = self.forgotten.max(ObjectVersion(oldest_kept.0 - 1));
    }
}
