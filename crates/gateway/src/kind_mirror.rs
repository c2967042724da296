//! Local copy of the store's objects of one kind.

use crate::{
    mirror_delta::{DeltaOutcome, MirrorDelta, RemainingObjects, changes_from},
    patch_history::{PatchHistory, PatchedObject},
    prelude::*,
};
use std::collections::VecDeque;

/// Copies of the objects of one kind.
#[derive(Default)]
pub(crate) struct KindMirror {
    /// Revision up to which all changes are known; `None` before the first list.
    pub(crate) synced_revision: Option<StoreRevision>,
    /// Highest revision of any change seen.
    pub(crate) latest_revision: StoreRevision,
    pub(crate) objects: IndexMap<String, PlatformObject>,
    /// Removed objects with the revisions of their removal, oldest first.
    removed: VecDeque<(StoreRevision, String)>,
    /// Revision after which `removed` holds all removals.
    removals_known_after: StoreRevision,
    /// Latest changes of the configuration, which other instances get by its differences; empty for
    /// other kinds.
    patches: PatchHistory,
    /// Whether to ask for the whole configuration, since differences from another instance did not fit.
    wants_whole: bool,
    /// Number of changes of this copy. An object may come without raising any revision.
    pub(crate) version: u64,
}

impl KindMirror {
    /// Largest number of removals kept.
    const MAX_REMOVED: usize = 1_024;

    fn record_removal(&mut self, revision: StoreRevision, name: String) {
        self.removed.push_back((revision, name));
        if self.removed.len() > Self::MAX_REMOVED
            && let Some((dropped, _)) = self.removed.pop_front()
        {
            // A late answer may tell of an earlier removal.
            self.removals_known_after = self.removals_known_after.max(dropped);
        }
    }

    pub(crate) fn apply_list(&mut self, page: &ObjectPage) {
        if self
            .synced_revision
            .is_some_and(|synced| synced > page.revision)
        {
            return;
        }
        let mut objects: IndexMap<String, PlatformObject> = page
            .objects
            .iter()
            .map(|object| (object.name.clone(), object.clone()))
            .collect();
        // Objects from another instance may be newer than the list.
        for (name, object) in &self.objects {
            if object.revision > page.revision {
                objects.insert(name.clone(), object.clone());
            }
        }
        // Objects that came and went before the list were never known here.
        self.removals_known_after = page.revision;
        self.removed.clear();
        self.objects = objects;
        self.synced_revision = Some(page.revision);
        self.latest_revision = self.latest_revision.max(page.revision);
    }

    pub(crate) fn apply_changes(&mut self, changes: &ObjectChanges) {
        for event in &changes.events {
            let object = &event.object;
            let known = self.objects.get(&object.name);
            if known.is_some_and(|known| known.revision > object.revision) {
                continue;
            }
            // A late answer: what it tells is known, or was removed since. A removal may carry the
            // revision of the object's last change.
            let is_known = self.synced_revision >= Some(object.revision);
            if is_known && !event.is_removed {
                continue;
            }
            match event.is_removed {
                true => {
                    self.objects.shift_remove(&object.name);
                    // Others may know the revision of the object's last change, which the event may carry.
                    let revision = object.revision.max(changes.revision);
                    self.record_removal(revision, object.name.clone());
                }
                false => {
                    self.objects.insert(object.name.clone(), object.clone());
                }
            }
        }
        self.synced_revision = self.synced_revision.max(Some(changes.revision));
        if !changes.events.is_empty() {
            self.latest_revision = self.latest_revision.max(changes.revision);
        }
    }

    /// Update by those of the objects that changed after the revision up to which all is known.
    pub(crate) fn later_objects(
        &self,
        mut objects: Vec<PlatformObject>,
        synced: StoreRevision,
    ) -> DeltaOutcome {
        objects.retain(|object| {
            let known = self.objects.get(&object.name);
            object.revision > synced && known.is_none_or(|known| known.revision < object.revision)
        });
        match objects.is_empty() {
            true => DeltaOutcome::UpToDate,
            false => changes_from(objects, Vec::new(), synced),
        }
    }

    /// Which objects still exist, for a receiver that knows all changes up to `known`.
    fn remaining_since(&self, known: StoreRevision) -> RemainingObjects {
        if known == StoreRevision::ZERO || known < self.removals_known_after {
            return RemainingObjects::Listed(self.objects.keys().cloned().collect());
        }
        let later = self
            .removed
            .iter()
            .filter(|(revision, name)| *revision > known && !self.objects.contains_key(name));
        RemainingObjects::AllExcept(later.cloned().collect())
    }

    /// Records how an update changes the configuration.
    pub(crate) fn record_patch(&mut self, update: &StoreUpdate) {
        let name = ObjectKind::CONFIGURATION_NAME;
        let next = match update {
            StoreUpdate::List(page) => page.objects.iter().find(|object| object.name == name),
            StoreUpdate::Changes(changes) => {
                let events = changes.events.iter().filter(|event| !event.is_removed);
                let objects = events.map(|event| &event.object);
                let states = objects.filter(|object| object.name == name);
                states.max_by_key(|object| object.revision)
            }
        };
        if let Some((known, next)) = self.objects.get(name).zip(next)
            && known.revision < next.revision
        {
            self.wants_whole = false;
            self.patches.record(known, next);
        }
    }

    /// Revision of the configuration to which differences may be applied; zero if the whole is wanted.
    pub(crate) fn patch_base(&self) -> StoreRevision {
        let known = self.objects.get(ObjectKind::CONFIGURATION_NAME);
        let known = known.filter(|_| !self.wants_whole);
        known.map_or(StoreRevision::ZERO, |object| object.revision)
    }

    /// What a receiver lacks that knows all changes up to `synced`, has seen `latest`, and has the
    /// configuration as of `patch_base`. `None` if it lacks nothing.
    pub(crate) fn delta(
        &self,
        kind: ObjectKind,
        synced: StoreRevision,
        latest: StoreRevision,
        patch_base: StoreRevision,
    ) -> Option<MirrorDelta> {
        let synced_revision = self.synced_revision?;
        // A receiver may have seen the latest change without those before it.
        let has_earlier = self.latest_revision > synced && synced_revision > synced;
        let has_later = self.latest_revision > latest;
        if synced > StoreRevision::ZERO && !has_earlier && !has_later {
            return None;
        }
        let mut delta = MirrorDelta {
            kind,
            synced_revision,
            latest_revision: self.latest_revision,
            remaining: self.remaining_since(synced),
            changed: Vec::new(),
            patched: Vec::new(),
        };
        let changed = self.objects.values();
        for object in changed.filter(|object| object.revision > synced) {
            match self.patches.between(patch_base, object.revision) {
                Some(steps) => delta.patched.push(PatchedObject {
                    name: object.name.clone(),
                    status: object.status.clone(),
                    steps,
                }),
                None => delta.changed.push(object.clone()),
            }
        }
        Some(delta)
    }

    /// Replaces the differences in a delta by the objects that they lead to. Returns whether all of
    /// them fit what is known.
    pub(crate) fn apply_patches(&mut self, delta: &mut MirrorDelta) -> bool {
        for patched in std::mem::take(&mut delta.patched) {
            let known = self.objects.get(&patched.name);
            if known.is_some_and(|known| known.revision >= patched.revision()) {
                continue;
            }
            let Some(object) = known.and_then(|known| patched.apply(known)) else {
                self.wants_whole = true;
                return false;
            };
            self.patches.extend(patched.steps);
            delta.changed.push(object);
        }
        true
    }
}
