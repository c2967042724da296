//! The store's objects as this instance knows them, to be handed on to others.

use crate::prelude::*;

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
}

/// What an instance has to learn of one kind.
pub(crate) struct MirrorDelta {
    pub(crate) kind: ObjectKind,
    pub(crate) complete: u64,
    pub(crate) newest: u64,
    /// Names of all objects.
    pub(crate) names: Vec<String>,
    /// Those that changed after what the other knows.
    pub(crate) changed: Vec<PlatformObject>,
}

/// What a delta from another instance makes.
pub(crate) enum DeltaList {
    /// All objects, newer than what is known.
    Whole(ObjectPage),
    /// Nothing new.
    Known,
    /// It names an object that neither side has told of.
    Partial,
}

/// All kinds, in the order of their positions.
pub(crate) const KINDS: [ObjectKind; 3] = [
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

impl ObjectMirror {
    /// Takes news from the store in.
    pub(crate) fn apply(&mut self, kind: ObjectKind, news: &WatchNews) {
        let mirror = &mut self.kinds[position_of(kind)];
        match news {
            WatchNews::List(page) => {
                mirror.objects = page
                    .objects
                    .iter()
                    .map(|object| (object.name.clone(), object.clone()))
                    .collect();
                mirror.complete = Some(page.revision);
                mirror.newest = mirror.newest.max(page.revision);
            }
            WatchNews::Changes(changes) => {
                for event in &changes.events {
                    match event.is_removed {
                        true => mirror.objects.shift_remove(&event.object.name),
                        false => mirror
                            .objects
                            .insert(event.object.name.clone(), event.object.clone()),
                    };
                }
                mirror.complete = mirror.complete.max(Some(changes.revision));
                if !changes.events.is_empty() {
                    mirror.newest = mirror.newest.max(changes.revision);
                }
            }
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
        for kind in KINDS {
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
                names: mirror.objects.keys().cloned().collect(),
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
    pub(crate) fn list_of(&self, delta: MirrorDelta) -> DeltaList {
        let mirror = &self.kinds[position_of(delta.kind)];
        if mirror
            .complete
            .is_some_and(|complete| complete >= delta.complete)
        {
            return DeltaList::Known;
        }
        let mut changed: IndexMap<String, PlatformObject> = delta
            .changed
            .into_iter()
            .map(|object| (object.name.clone(), object))
            .collect();
        let mut objects = Vec::with_capacity(delta.names.len());
        for name in &delta.names {
            let object = changed
                .swap_remove(name)
                .or_else(|| mirror.objects.get(name).cloned());
            match object {
                Some(object) => objects.push(object),
                None => return DeltaList::Partial,
            }
        }
        DeltaList::Whole(ObjectPage {
            objects,
            has_more: false,
            revision: delta.complete,
        })
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
