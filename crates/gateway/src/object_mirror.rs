//! Local copy of the store's objects, from which other instances are updated.

use crate::{
    feed_request::FeedRequest,
    kind_mirror::KindMirror,
    mirror_delta::{DeltaOutcome, MirrorDelta, RemainingObjects, changes_from},
    prelude::*,
};

/// Copies of the objects of all kinds.
#[derive(Default)]
pub(crate) struct ObjectMirror {
    kinds: [KindMirror; KIND_COUNT],
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

impl ObjectMirror {
    /// Applies an update to the objects of a kind.
    pub(crate) fn apply(&mut self, kind: ObjectKind, update: &StoreUpdate) {
        let mirror = &mut self.kinds[position_of(kind)];
        mirror.version += 1;
        if kind == ObjectKind::Configuration {
            mirror.record_patch(update);
        }
        match update {
            StoreUpdate::List(page) => mirror.apply_list(page),
            StoreUpdate::Changes(changes) => mirror.apply_changes(changes),
        }
    }

    /// Number that grows with each change of the copies of a kind.
    pub(crate) fn version(&self, kind: ObjectKind) -> u64 {
        self.kinds[position_of(kind)].version
    }

    /// Revision of the configuration to which another instance may send the differences; zero if the
    /// whole is wanted.
    pub(crate) fn patch_base(&self) -> StoreRevision {
        self.kinds[position_of(ObjectKind::Configuration)].patch_base()
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

    /// What the sender of a request lacks in the objects of a kind; `None` if nothing.
    pub(crate) fn delta(&self, kind: ObjectKind, request: &FeedRequest) -> Option<MirrorDelta> {
        let position = position_of(kind);
        let (synced, latest) = (request.synced_revisions, request.latest_revisions);
        let base = request.patch_base;
        self.kinds[position].delta(kind, synced[position], latest[position], base)
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
            next: None,
            revision: delta.synced_revision,
        }))
    }

    /// Inserts one object from another instance. The synced revision stays, since other changes may
    /// be missing.
    pub(crate) fn insert(&mut self, kind: ObjectKind, object: PlatformObject) {
        let mirror = &mut self.kinds[position_of(kind)];
        mirror.version += 1;
        mirror.latest_revision = mirror.latest_revision.max(object.revision);
        let known = mirror.objects.get(&object.name);
        if known.is_none_or(|known| known.revision < object.revision) {
            mirror.objects.insert(object.name.clone(), object);
        }
    }

    /// Forgets all objects of a kind, since the store has gone back to an earlier revision.
    pub(crate) fn forget(&mut self, kind: ObjectKind) {
        let mirror = &mut self.kinds[position_of(kind)];
        let version = mirror.version + 1;
        *mirror = KindMirror::default();
        mirror.version = version;
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
    pub(crate) fn take_over(&mut self, mut delta: MirrorDelta) -> DeltaOutcome {
        let (kind, latest_revision) = (delta.kind, delta.latest_revision);
        if !self.kinds[position_of(kind)].apply_patches(&mut delta) {
            return DeltaOutcome::Incomplete;
        }
        let outcome = self.update_from(delta);
        if let DeltaOutcome::Update(_) | DeltaOutcome::UpToDate = outcome {
            let mirror = &mut self.kinds[position_of(kind)];
            mirror.version += 1;
            mirror.latest_revision = mirror.latest_revision.max(latest_revision);
        }
        outcome
    }
}
