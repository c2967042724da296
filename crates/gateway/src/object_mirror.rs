//! Local copy of the store's objects, from which other instances are updated.

use crate::{
    mirror_delta::{DeltaOutcome, MirrorDelta, RemainingObjects, changes_from},
    prelude::*,
};
use std::collections::VecDeque;

/// Copies of the objects of all kinds.
#[derive(Default)]
pub(crate) struct ObjectMirror {
    kinds: [KindMirror; KIND_COUNT],
    /// Number of changes of this copy. An object may come without raising any revision.
    version: u64,
}

/// Copies of the objects of one kind.
#[derive(Default)]
struct KindMirror {
    /// Revision up to which all changes are known; `None` before the first list.
    synced_revision: Option<StoreRevision>,
    /// Highest revision of any change seen.
    latest_revision: StoreRevision,
    objects: IndexMap<String, PlatformObject>,
    /// Removed objects with the revisions of their removal, oldest first.
    removed: VecDeque<(StoreRevision, String)>,
    /// Revision after which `removed` holds all removals.
    removals_known_after: StoreRevision,
}

/// Number of object kinds.
pub(crate) const KIND_COUNT: usize = 4;

/// Revisions by kind, in the order of their positions.
pub(crate) type KindRevisions = [StoreRevision; KIND_COUNT];

/// All object kinds, in the order of their positions.
pub(crate) const OBJECT_KINDS: [ObjectKind; KIND_COUNT] = [
    ObjectKind::Servers,
    ObjectKind::Configuration,
    ObjectKind::Records,
    ObjectKind::Evacuations,
];

/// Position of a kind in arrays and on the wire.
pub(crate) fn position_of(kind: ObjectKind) -> usize {
    match kind {
        ObjectKind::Servers => 0,
        ObjectKind::Configuration => 1,
        ObjectKind::Records => 2,
        ObjectKind::Evacuations => 3,
    }
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

    fn apply_list(&mut self, page: &ObjectPage) {
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

    fn apply_changes(&mut self, changes: &ObjectChanges) {
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
    fn later_objects(
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
}

impl ObjectMirror {
    /// Applies an update to the objects of a kind.
    pub(crate) fn apply(&mut self, kind: ObjectKind, update: &StoreUpdate) {
        self.version += 1;
        let mirror = &mut self.kinds[position_of(kind)];
        match update {
            StoreUpdate::List(page) => mirror.apply_list(page),
            StoreUpdate::Changes(changes) => mirror.apply_changes(changes),
        }
    }

    /// Number that grows with each change of this copy.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Highest revisions of any changes seen, by kind.
    pub(crate) fn latest_revisions(&self) -> KindRevisions {
        OBJECT_KINDS.map(|kind| self.kinds[position_of(kind)].latest_revision)
    }

    /// Revisions up to which all changes are known, by kind; zero before the first list.
    pub(crate) fn synced_revisions(&self) -> KindRevisions {
        OBJECT_KINDS.map(|kind| {
            let mirror = &self.kinds[position_of(kind)];
            mirror.synced_revision.unwrap_or_default()
        })
    }

    /// Differences for a receiver that knows all changes up to `synced` and has seen `latest`.
    pub(crate) fn deltas(&self, synced: KindRevisions, latest: KindRevisions) -> Vec<MirrorDelta> {
        let mut deltas = Vec::new();
        for kind in OBJECT_KINDS {
            let position = position_of(kind);
            let mirror = &self.kinds[position];
            let Some(synced_revision) = mirror.synced_revision else {
                continue;
            };
            // A receiver may have seen the latest change without those before it.
            let has_earlier =
                mirror.latest_revision > synced[position] && synced_revision > synced[position];
            let has_later = mirror.latest_revision > latest[position];
            if synced[position] > StoreRevision::ZERO && !has_earlier && !has_later {
                continue;
            }
            deltas.push(MirrorDelta {
                kind,
                synced_revision,
                latest_revision: mirror.latest_revision,
                remaining: mirror.remaining_since(synced[position]),
                changed: mirror
                    .objects
                    .values()
                    .filter(|object| object.revision > synced[position])
                    .cloned()
                    .collect(),
            });
        }
        deltas
    }

    /// Turns a delta from another instance into an update of this mirror.
    pub(crate) fn update_from(&self, delta: MirrorDelta) -> DeltaOutcome {
        let mirror = &self.kinds[position_of(delta.kind)];
        if let Some(synced) = mirror.synced_revision
            && synced >= delta.synced_revision
        {
            return mirror.later_objects(delta.changed, synced);
        }
        let names = match delta.remaining {
            RemainingObjects::Listed(names) => names,
            RemainingObjects::AllExcept(removed) => {
                return changes_from(delta.changed, removed, delta.synced_revision);
            }
        };
        let mut changed: IndexMap<String, PlatformObject> = delta
            .changed
            .into_iter()
            .map(|object| (object.name.clone(), object))
            .collect();
        let mut objects = Vec::with_capacity(names.len());
        for name in &names {
            let object = changed
                .swap_remove(name)
                .or_else(|| mirror.objects.get(name).cloned());
            match object {
                Some(object) => objects.push(object),
                None => return DeltaOutcome::Incomplete,
            }
        }
        DeltaOutcome::Update(StoreUpdate::List(ObjectPage {
            objects,
            has_more: false,
            revision: delta.synced_revision,
        }))
    }

    /// Inserts one object from another instance. The synced revision stays, since other changes may
    /// be missing.
    pub(crate) fn insert(&mut self, kind: ObjectKind, object: PlatformObject) {
        self.version += 1;
        let mirror = &mut self.kinds[position_of(kind)];
        mirror.latest_revision = mirror.latest_revision.max(object.revision);
        let known = mirror.objects.get(&object.name);
        if known.is_none_or(|known| known.revision < object.revision) {
            mirror.objects.insert(object.name.clone(), object);
        }
    }

    /// Forgets all objects of a kind, since the store has gone back to an earlier revision.
    pub(crate) fn forget(&mut self, kind: ObjectKind) {
        self.version += 1;
        self.kinds[position_of(kind)] = KindMirror::default();
    }

    /// Names and revisions of the objects of a kind.
    pub(crate) fn names(&self, kind: ObjectKind) -> Vec<(String, StoreRevision)> {
        let objects = self.kinds[position_of(kind)].objects.values();
        let names = objects.map(|object| (object.name.clone(), object.revision));
        names.collect()
    }

    /// One object.
    pub(crate) fn get(&self, kind: ObjectKind, name: &str) -> Option<&PlatformObject> {
        self.kinds[position_of(kind)].objects.get(name)
    }

    /// Copy of one object.
    pub(crate) fn object(&self, kind: ObjectKind, name: &str) -> Option<PlatformObject> {
        self.get(kind, name).cloned()
    }

    /// Turns a delta into an update, and raises the latest revision to that of the sender unless the
    /// delta is incomplete.
    pub(crate) fn take_over(&mut self, delta: MirrorDelta) -> DeltaOutcome {
        let (kind, latest_revision) = (delta.kind, delta.latest_revision);
        let outcome = self.update_from(delta);
        if let DeltaOutcome::Update(_) | DeltaOutcome::UpToDate = outcome {
            self.version += 1;
            let mirror = &mut self.kinds[position_of(kind)];
            mirror.latest_revision = mirror.latest_revision.max(latest_revision);
        }
        outcome
    }
}
