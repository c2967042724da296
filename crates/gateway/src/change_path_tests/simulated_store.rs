//! The platform's store: objects with their history, lists and watches.

use crate::{
    object_mirror::{OBJECT_KINDS, position_of},
    prelude::*,
};

/// Objects and history of the store.
#[derive(Default)]
pub(super) struct SimulatedStore {
    pub(super) revision: StoreRevision,
    kinds: [IndexMap<String, PlatformObject>; 3],
    history: Vec<(ObjectKind, ObjectEvent)>,
    /// Revision up to which the history is gone.
    compacted: StoreRevision,
}

/// Call of an instance, without those parts that do not matter.
#[derive(Clone, Debug)]
pub(super) enum StoreQuestion {
    List(ObjectKind),
    Watch {
        kind: ObjectKind,
        after: StoreRevision,
        wait: Duration,
    },
    Read(String),
    /// Writes a record, if it still has the revision; `None` writes in any case.
    Write {
        name: String,
        base: Option<StoreRevision>,
        spec: serde_json::Value,
    },
}

/// Answer of the store.
#[derive(Clone, Debug)]
pub(super) enum StoreAnswer {
    List(ObjectPage),
    Changes(ObjectChanges),
    Compacted,
    Object(Option<PlatformObject>),
    Written(PlatformObject),
    Conflict,
}

impl StoreQuestion {
    /// Time for which the store may hold the call.
    pub(super) fn wait(&self) -> Duration {
        match self {
            Self::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }
}

impl SimulatedStore {
    /// Writes or removes an object and returns it as of its new revision.
    pub(super) fn change(
        &mut self,
        kind: ObjectKind,
        name: &str,
        spec: Option<&serde_json::Value>,
    ) -> PlatformObject {
        self.revision = self.revision.next();
        let object = PlatformObject {
            name: name.into(),
            revision: self.revision,
            spec: spec.cloned().unwrap_or_default(),
            status: serde_json::Value::Null,
        };
        let objects = &mut self.kinds[position_of(kind)];
        match spec {
            Some(_) => objects.insert(name.into(), object.clone()),
            None => objects.shift_remove(name),
        };
        let event = ObjectEvent {
            object: object.clone(),
            is_removed: spec.is_none(),
        };
        self.history.push((kind, event));
        object
    }

    pub(super) fn object(&self, kind: ObjectKind, name: &str) -> Option<&PlatformObject> {
        self.kinds[position_of(kind)].get(name)
    }

    /// Forgets the history.
    pub(super) fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// Answers a call; `None` if it is a watch without changes so far.
    pub(super) fn answer(&mut self, question: &StoreQuestion) -> Option<StoreAnswer> {
        Some(match question {
            StoreQuestion::List(kind) => StoreAnswer::List(self.page(*kind)),
            StoreQuestion::Watch { kind, after, .. } => {
                return match *after < self.compacted {
                    true => Some(StoreAnswer::Compacted),
                    false => self
                        .changes(*kind, *after)
                        .filter(|changes| !changes.events.is_empty())
                        .map(StoreAnswer::Changes),
                };
            }
            StoreQuestion::Read(name) => {
                StoreAnswer::Object(self.object(ObjectKind::Records, name).cloned())
            }
            StoreQuestion::Write { name, base, spec } => {
                let known = self.object(ObjectKind::Records, name);
                match base.is_some() && known.map(|object| object.revision) != *base {
                    true => StoreAnswer::Conflict,
                    false => {
                        StoreAnswer::Written(self.change(ObjectKind::Records, name, Some(spec)))
                    }
                }
            }
        })
    }

    /// Answer to a watch whose time is over.
    pub(super) fn empty_changes(&self) -> StoreAnswer {
        StoreAnswer::Changes(ObjectChanges {
            events: Vec::new(),
            revision: self.revision,
        })
    }

    /// All objects of all kinds.
    pub(super) fn pages(&self) -> [(ObjectKind, ObjectPage); 3] {
        OBJECT_KINDS.map(|kind| (kind, self.page(kind)))
    }

    fn page(&self, kind: ObjectKind) -> ObjectPage {
        ObjectPage {
            objects: self.kinds[position_of(kind)].values().cloned().collect(),
            has_more: false,
            revision: self.revision,
        }
    }

    fn changes(&self, kind: ObjectKind, after: StoreRevision) -> Option<ObjectChanges> {
        let later = self
            .history
            .iter()
            .filter(|(of, event)| *of == kind && event.object.revision > after);
        Some(ObjectChanges {
            events: later.map(|(_, event)| event.clone()).collect(),
            revision: self.revision,
        })
    }
}
