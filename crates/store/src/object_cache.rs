//! Cache of the latest known state of the store's objects, which instances pass on to each other.
//!
//! The cached version of an object never decreases, in whatever order its changes arrive.

use crate::prelude::*;

/// Latest known state of each object, including recent removals.
#[derive(Debug, Default)]
pub struct ObjectCache {
    objects: IndexMap<ObjectPath, WatchEvent>,
    progress: CacheProgress,
    /// Version up to which removals may have been discarded.
    removals_discarded_up_to: ObjectVersion,
}

/// Versions that describe how up to date a cache is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheProgress {
    /// Version up to which the cache contains all changes.
    pub complete: ObjectVersion,
    /// Highest version in the cache; changes between `complete` and this one may be missing.
    pub newest: ObjectVersion,
}

impl CacheProgress {
    /// Whether a cache with progress `other` has changes that one with this progress may lack.
    pub fn is_behind(&self, other: &Self) -> bool {
        other.complete > self.complete || other.newest > self.newest
    }
}

impl ObjectCache {
    /// Maximum number of removals kept in the cache.
    pub const MAX_REMOVALS: usize = 1_024;

    /// Current progress of the cache.
    pub fn progress(&self) -> CacheProgress {
        self.progress
    }

    /// Applies the state of one object; returns false if it is not newer than the known one.
    pub fn apply(&mut self, event: &WatchEvent) -> bool {
        let known = self.objects.get(&event.path);
        if event.version <= self.removals_discarded_up_to
            && known.is_none()
            && event.value.is_none()
            || known.is_some_and(|known| known.version >= event.version)
        {
            return false;
        }
        self.progress.newest = self.progress.newest.max(event.version);
        self.objects.insert(event.path.clone(), event.clone());
        self.discard_old_removals();
        true
    }

    /// Applies a batch and returns the events that were new.
    ///
    /// The batch must start at or before the version up to which the cache is complete.
    pub fn apply_batch(&mut self, batch: WatchBatch) -> Vec<WatchEvent> {
        let new_events = batch.events.into_iter().filter(|event| self.apply(event));
        let new_events: Vec<_> = new_events.collect();
        self.progress.complete = self.progress.complete.max(batch.version);
        self.progress.newest = self.progress.newest.max(self.progress.complete);
        new_events
    }

    /// Applies a batch of all existing objects; cached objects that it lacks count as removed.
    pub fn apply_snapshot(&mut self, mut batch: WatchBatch) -> Vec<WatchEvent> {
        let listed_paths: IndexSet<_> = batch
            .events
            .iter()
            .map(|event| event.path.clone())
            .collect();
        let known = self.objects.values();
        let removed = known.filter(|event| {
            event.value.is_some()
                && event.version <= batch.version
                && !listed_paths.contains(&event.path)
        });
        let removals = removed.map(|event| WatchEvent {
            path: event.path.clone(),
            version: batch.version,
            value: None,
        });
        batch.events.extend(removals.collect::<Vec<_>>());
        self.apply_batch(batch)
    }

    /// Objects that changed after the version `after`, ordered by version.
    pub fn changes_since(&self, after: ObjectVersion) -> WatchBatch {
        let changed = self.objects.values().filter(|event| event.version > after);
        let mut events: Vec<_> = changed.cloned().collect();
        events.sort_by_key(|event| event.version);
        WatchBatch {
            version: self.progress.complete,
            events,
        }
    }

    /// Whether removals after the version `after` may have been discarded.
    pub fn has_discarded_removals(&self, after: ObjectVersion) -> bool {
        after < self.removals_discarded_up_to
    }

    /// Discards the oldest removals if there are more than `MAX_REMOVALS`, and keeps half as many.
    fn discard_old_removals(&mut self) {
        let removed = self.objects.values().filter(|event| event.value.is_none());
        let mut versions: Vec<_> = removed.map(|event| event.version).collect();
        if versions.len() <= Self::MAX_REMOVALS {
            return;
        }
        versions.sort_unstable();
        let oldest_kept_version = versions[versions.len() - Self::MAX_REMOVALS / 2];
        self.objects
            .retain(|_, event| event.value.is_some() || event.version >= oldest_kept_version);
        self.removals_discarded_up_to = self
            .removals_discarded_up_to
            .max(ObjectVersion(oldest_kept_version.0 - 1));
    }
}
