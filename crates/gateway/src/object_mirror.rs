//! The store's objects as this instance knows them, to be handed on to others.

use crate::prelude::*;
use std::collections::VecDeque;

/// Objects of all kinds.
#[derive(Default)]
pub(crate) struct ObjectMirror {
    kinds: [KindMirror; 3],
}

/// Objects of one kind.
#[derive(Default)]
struct KindMirror {
    /// Revision up to which all changes are known, none before the first list.
    complete: Option<u64>,
    /// Revision of the last batch that brought a change.
    newest: u64,
    objects: IndexMap<String, PlatformObject>,
    /// Objects that were removed, by the revision of that, oldest first.
    removed: VecDeque<(u64, String)>,
    /// Revision after which all removals are listed.
    removed_after: u64,
}

/// What an instance has to learn of one kind.
pub(crate) struct MirrorDelta {
    pub(crate) kind: ObjectKind,
    pub(crate) complete: u64,
    pub(crate) newest: u64,
    /// What is left of the objects that the other knows.
    pub(crate) rest: DeltaRest,
    /// Objects that changed after what the other knows.
    pub(crate) changed: Vec<PlatformObject>,
}

/// What became of the objects that did not change.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum DeltaRest {
    /// Only those of these names are left.
    Named(Vec<String>),
    /// All are left but these, with the revisions of their removal.
    Without(Vec<(u64, String)>),
}

/// What a delta from another instance makes.
pub(crate) enum DeltaNews {
    /// All that is new.
    Whole(StoreUpdate),
    /// Nothing new.
    Known,
    /// It names an object that neither side has told of.
    Partial,
}

/// All kinds, in the order of their positions.
pub(crate) const OBJECT_KINDS: [ObjectKind; 3] = [
    ObjectKind::Servers,
    ObjectKind::Configuration,
    ObjectKind::Records,
];

/// Position of a kind in tables.
pub(crate) fn position_of(kind: ObjectKind) -> usize {
    match kind {
        ObjectKind::Servers => 0,
        ObjectKind::Configuration => 1,
        ObjectKind::Records => 2,
    }
}

impl KindMirror {
    /// Removals remembered.
    const MAX_REMOVED: usize = 1_024;

    fn note_removed(&mut self, revision: u64, name: String) {
        self.removed.push_back((revision, name));
        if self.removed.len() > Self::MAX_REMOVED
            && let Some((dropped, _)) = self.removed.pop_front()
        {
            self.removed_after = dropped;
        }
    }

    fn take_list(&mut self, page: &ObjectPage) {
        let mut objects: IndexMap<String, PlatformObject> = page
            .objects
            .iter()
            .map(|object| (object.name.clone(), object.clone()))
            .collect();
        // What another instance told of since may be newer than the list.
        for (name, object) in &self.objects {
            if object.revision > page.revision {
                objects.insert(name.clone(), object.clone());
            }
        }
        if self.complete.is_none() {
            self.removed_after = page.revision;
        }
        let before = std::mem::replace(&mut self.objects, objects);
        for name in before.into_keys() {
            if !self.objects.contains_key(&name) {
                self.note_removed(page.revision, name);
            }
        }
        self.complete = Some(page.revision);
        self.newest = self.newest.max(page.revision);
    }

    fn take_changes(&mut self, changes: &ObjectChanges) {
        for event in &changes.events {
            let object = &event.object;
            let known = self.objects.get(&object.name);
            if known.is_some_and(|known| known.revision > object.revision) {
                continue;
            }
            match event.is_removed {
                true => {
                    self.objects.shift_remove(&object.name);
                    self.note_removed(object.revision, object.name.clone());
                }
                false => {
                    self.objects.insert(object.name.clone(), object.clone());
                }
            }
        }
        self.complete = self.complete.max(Some(changes.revision));
        if !changes.events.is_empty() {
            self.newest = self.newest.max(changes.revision);
        }
    }

    /// What is left of the objects that one knows who knows all up to `known`.
    fn rest(&self, known: u64) -> DeltaRest {
        if known == 0 || known < self.removed_after {
            return DeltaRest::Named(self.objects.keys().cloned().collect());
        }
        let later = self
            .removed
            .iter()
            .filter(|(revision, name)| *revision > known && !self.objects.contains_key(name));
        DeltaRest::Without(later.cloned().collect())
    }
}

impl ObjectMirror {
    /// Takes news from the store in.
    pub(crate) fn apply(&mut self, kind: ObjectKind, news: &StoreUpdate) {
        let mirror = &mut self.kinds[position_of(kind)];
        match news {
            StoreUpdate::List(page) => mirror.take_list(page),
            StoreUpdate::Changes(changes) => mirror.take_changes(changes),
        }
    }

    /// Revisions of the last changes known, by kind.
    pub(crate) fn newest(&self) -> [u64; 3] {
        [0, 1, 2].map(|position: usize| self.kinds[position].newest)
    }

    /// Revisions up to which all is known, by kind; zero before the first list.
    pub(crate) fn complete(&self) -> [u64; 3] {
        [0, 1, 2].map(|position: usize| self.kinds[position].complete.unwrap_or_default())
    }

    /// What one who knows all up to `known` and has seen `newest` has to learn.
    pub(crate) fn deltas(&self, known: [u64; 3], newest: [u64; 3]) -> Vec<MirrorDelta> {
        let mut deltas = Vec::new();
        for kind in OBJECT_KINDS {
            let position = position_of(kind);
            let mirror = &self.kinds[position];
            let Some(complete) = mirror.complete else {
                continue;
            };
            let is_news = known[position] == 0 || mirror.newest > newest[position];
            if !is_news {
                continue;
            }
            deltas.push(MirrorDelta {
                kind,
                complete,
                newest: mirror.newest,
                rest: mirror.rest(known[position]),
                changed: mirror
                    .objects
                    .values()
                    .filter(|object| object.revision > known[position])
                    .cloned()
                    .collect(),
            });
        }
        deltas
    }

    /// What a delta from another instance makes of what is known here.
    pub(crate) fn news_of(&self, delta: MirrorDelta) -> DeltaNews {
        let mirror = &self.kinds[position_of(delta.kind)];
        if mirror
            .complete
            .is_some_and(|complete| complete >= delta.complete)
        {
            return DeltaNews::Known;
        }
        let names = match delta.rest {
            DeltaRest::Named(names) => names,
            DeltaRest::Without(removed) => {
                return changes_of(delta.changed, removed, delta.complete);
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
                None => return DeltaNews::Partial,
            }
        }
        DeltaNews::Whole(StoreUpdate::List(ObjectPage {
            objects,
            has_more: false,
            revision: delta.complete,
        }))
    }

    /// Takes one object in that another instance told; what else changed is not known by it.
    pub(crate) fn put(&mut self, kind: ObjectKind, object: PlatformObject) {
        let mirror = &mut self.kinds[position_of(kind)];
        mirror.newest = mirror.newest.max(object.revision);
        mirror.objects.insert(object.name.clone(), object);
    }

    /// Notes that another instance's last change is known.
    pub(crate) fn saw_newest(&mut self, kind: ObjectKind, newest: u64) {
        let mirror = &mut self.kinds[position_of(kind)];
        mirror.newest = mirror.newest.max(newest);
    }
}

fn changes_of(
    changed: Vec<PlatformObject>,
    removed: Vec<(u64, String)>,
    revision: u64,
) -> DeltaNews {
    let changed = changed.into_iter().map(|object| ObjectEvent {
        object,
        is_removed: false,
    });
    let removed = removed.into_iter().map(|(revision, name)| ObjectEvent {
        object: PlatformObject {
            name,
            revision,
            spec: serde_json::Value::Null,
            status: serde_json::Value::Null,
        },
        is_removed: true,
    });
    let mut events: Vec<ObjectEvent> = changed.chain(removed).collect();
    events.sort_by_key(|event| event.object.revision);
    DeltaNews::Whole(StoreUpdate::Changes(ObjectChanges { events, revision }))
}
