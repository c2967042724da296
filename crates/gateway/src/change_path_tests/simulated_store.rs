//! The platform's store: objects with their history, lists and watches.
//!
//! Its revisions are numbers without an era. It may come back from an older copy: what was written
//! since is gone, the numbers are given out again, and its answers state the next era.

use crate::{
    object_mirror::{OBJECT_KINDS, position_of},
    prelude::*,
};

/// Objects and history of the store.
pub(super) struct SimulatedStore {
    /// Era that the answers state.
    pub(super) era: u64,
    pub(super) revision: StoreRevision,
    kinds: [IndexMap<String, PlatformObject>; KIND_COUNT],
    history: Vec<StoredChange>,
    /// Revision up to which the history is gone.
    compacted: StoreRevision,
}

/// Change in the history of the store.
#[derive(Clone, Debug)]
pub(super) struct StoredChange {
    pub(super) at: MonoTime,
    /// Number of the write of the operator or a server; zero of the system's.
    pub(super) write: u64,
    pub(super) kind: ObjectKind,
    pub(super) event: ObjectEvent,
}

/// Call of an instance, without those parts that do not matter.
#[derive(Clone, Debug)]
pub(super) enum StoreQuestion {
    /// Lists a kind, of which the caller knows all changes up to a revision.
    List {
        kind: ObjectKind,
        known: StoreRevision,
    },
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

    /// What `ObjectClient` answers to a question that it does not send in this era, or the answer to
    /// which is of this era.
    pub(super) fn refusal(&self, era: u64) -> Option<StoreAnswer> {
        match self {
            Self::Watch { after, .. } if after.era != era => Some(StoreAnswer::Compacted),
            Self::Write {
                base: Some(base), ..
            } if base.era != era => Some(StoreAnswer::Conflict),
            _ => None,
        }
    }
}

impl StoreAnswer {
    /// The answer as `ObjectClient` reads it in an era.
    pub(super) fn in_era(&self, era: u64) -> Self {
        let place = |revision: StoreRevision| StoreRevision::new(era, revision.number);
        let object = |object: &PlatformObject| PlatformObject {
            revision: place(object.revision),
            ..object.clone()
        };
        match self {
            Self::List(page) => Self::List(ObjectPage {
                objects: page.objects.iter().map(object).collect(),
                next: page.next.clone(),
                revision: place(page.revision),
            }),
            Self::Changes(changes) => {
                let events = changes.events.iter().map(|event| ObjectEvent {
                    object: object(&event.object),
                    is_removed: event.is_removed,
                });
                Self::Changes(ObjectChanges {
                    events: events.collect(),
                    revision: place(changes.revision),
                })
            }
            Self::Object(known) => Self::Object(known.as_ref().map(object)),
            Self::Written(written) => Self::Written(object(written)),
            Self::Compacted => Self::Compacted,
            Self::Conflict => Self::Conflict,
        }
    }
}

impl Default for SimulatedStore {
    fn default() -> Self {
        Self {
            era: 1,
            revision: StoreRevision::ZERO,
            kinds: Default::default(),
            history: Vec::new(),
            compacted: StoreRevision::ZERO,
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
        write: u64,
        at: MonoTime,
    ) -> PlatformObject {
        self.revision = self.revision.next();
        let object = PlatformObject {
            name: name.into(),
            revision: self.revision,
            spec: spec.cloned().unwrap_or_default(),
            status: serde_json::Value::Null,
        };
        let event = ObjectEvent {
            object: object.clone(),
            is_removed: spec.is_none(),
        };
        self.apply(kind, &event);
        self.history.push(StoredChange {
            at,
            write,
            kind,
            event,
        });
        object
    }

    fn apply(&mut self, kind: ObjectKind, event: &ObjectEvent) {
        let object = &event.object;
        let objects = &mut self.kinds[position_of(kind)];
        match event.is_removed {
            true => objects.shift_remove(&object.name),
            false => objects.insert(object.name.clone(), object.clone()),
        };
    }

    /// Goes back to the copy that was taken at `copied_at`, and begins the next era. Returns what is
    /// lost.
    pub(super) fn restore(&mut self, copied_at: MonoTime) -> Vec<StoredChange> {
        let kept = self
            .history
            .partition_point(|change| change.at <= copied_at);
        let lost = self.history.split_off(kept);
        self.era += 1;
        self.kinds = Default::default();
        for change in std::mem::take(&mut self.history) {
            self.apply(change.kind, &change.event);
            self.history.push(change);
        }
        let last = self.history.last();
        self.revision = last.map_or(StoreRevision::ZERO, |change| change.event.object.revision);
        self.compacted = self.compacted.min(self.revision);
        lost
    }

    pub(super) fn object(&self, kind: ObjectKind, name: &str) -> Option<&PlatformObject> {
        self.kinds[position_of(kind)].get(name)
    }

    /// Forgets the history.
    pub(super) fn compact(&mut self) {
        self.compacted = self.revision;
    }

    /// Answers a call; `None` if it is a watch without changes so far.
    pub(super) fn answer(
        &mut self,
        question: &StoreQuestion,
        now: MonoTime,
    ) -> Option<StoreAnswer> {
        Some(match question {
            StoreQuestion::List { kind, .. } => StoreAnswer::List(self.page(*kind)),
            StoreQuestion::Watch { after, .. } if after.number > self.revision.number => {
                StoreAnswer::Compacted
            }
            StoreQuestion::Watch { .. } => return self.answer_watch(question),
            StoreQuestion::Read(name) => {
                StoreAnswer::Object(self.object(ObjectKind::Records, name).cloned())
            }
            StoreQuestion::Write { name, base, spec } => {
                let known = self.object(ObjectKind::Records, name);
                let known = known.map(|object| object.revision.number);
                let kind = ObjectKind::Records;
                match base.is_some_and(|base| known != Some(base.number)) {
                    true => StoreAnswer::Conflict,
                    false => StoreAnswer::Written(self.change(kind, name, Some(spec), 0, now)),
                }
            }
        })
    }

    /// Answers a watch that may have been open when the store was restored.
    pub(super) fn answer_watch(&self, question: &StoreQuestion) -> Option<StoreAnswer> {
        let StoreQuestion::Watch { kind, after, .. } = question else {
            return None;
        };
        if after.number < self.compacted.number {
            return Some(StoreAnswer::Compacted);
        }
        let changes = self.changes(*kind, after.number);
        (!changes.events.is_empty()).then_some(StoreAnswer::Changes(changes))
    }

    /// Answer to a watch whose time is over.
    pub(super) fn empty_changes(&self) -> StoreAnswer {
        StoreAnswer::Changes(ObjectChanges {
            events: Vec::new(),
            revision: self.revision,
        })
    }

    /// All objects of all kinds that the instances follow.
    pub(super) fn pages(&self) -> impl Iterator<Item = (ObjectKind, StoreAnswer)> {
        let followed = OBJECT_KINDS.into_iter();
        let followed = followed.filter(|kind| *kind != ObjectKind::Evacuations);
        followed.map(|kind| (kind, StoreAnswer::List(self.page(kind))))
    }

    fn page(&self, kind: ObjectKind) -> ObjectPage {
        ObjectPage {
            objects: self.kinds[position_of(kind)].values().cloned().collect(),
            next: None,
            revision: self.revision,
        }
    }

    fn changes(&self, kind: ObjectKind, after: u64) -> ObjectChanges {
        let known = |change: &StoredChange| change.event.object.revision.number <= after;
        let later = self.history[self.history.partition_point(known)..].iter();
        let events = later.filter(|change| change.kind == kind);
        ObjectChanges {
            events: events.map(|change| change.event.clone()).collect(),
            revision: self.revision,
        }
    }
}
