//! Objects of the simulated store, with a history of their changes.

use crate::prelude::*;
use std::collections::VecDeque;

/// Objects by kind and name, and the latest changes to them.
#[derive(Clone, Default)]
pub(crate) struct StoreObjects {
    /// Number of times that the objects were restored from a copy.
    restores: u64,
    revision: u64,
    objects: IndexMap<(&'static str, String), PlatformObject>,
    history: VecDeque<(&'static str, ObjectEvent)>,
    /// The history contains all changes after this revision.
    compacted_revision: u64,
}

/// Reason why a write was rejected.
#[derive(Debug, PartialEq)]
pub(crate) enum WriteError {
    Conflict,
    NotFound,
}

impl StoreObjects {
    /// Largest number of objects on a page.
    const PAGE_LENGTH: usize = 10;
    /// Largest number of changes in the history.
    const MAX_HISTORY: usize = 4_096;

    /// Era that answers state: it starts at one and rises with each restore.
    pub(crate) fn era(&self) -> u64 {
        self.restores + 1
    }

    /// Goes back to a copy, in a new era; what was written since the copy is lost.
    pub(crate) fn restore(&mut self, copy: &Self) {
        let restores = self.restores + 1;
        *self = Self {
            restores,
            ..copy.clone()
        };
    }

    /// Whether a revision is above all that were given out in this era.
    pub(crate) fn is_unknown(&self, revision: u64) -> bool {
        revision > self.revision
    }

    /// Returns a page of the objects of a kind, in the order of their names, from the first one
    /// after `after` on.
    pub(crate) fn list(&self, kind: ObjectKind, after: Option<&str>) -> ObjectPage {
        let matching = |((label, name), object): (&(&'static str, String), _)| {
            (*label == kind.label() && Some(name.as_str()) > after).then_some(object)
        };
        let mut matching: Vec<&PlatformObject> = self.objects.iter().filter_map(matching).collect();
        matching.sort_by(|one, other| one.name.cmp(&other.name));
        let has_more = matching.len() > Self::PAGE_LENGTH;
        matching.truncate(Self::PAGE_LENGTH);
        let last = matching.last().filter(|_| has_more);
        ObjectPage {
            next: last.map(|object| object.name.clone()),
            objects: matching.into_iter().cloned().collect(),
            revision: self.revision.into(),
        }
    }

    /// Returns the changes of a kind after a revision; `None` if the history does not contain it.
    pub(crate) fn changes(&self, kind: ObjectKind, after: u64) -> Option<ObjectChanges> {
        let is_covered = after >= self.compacted_revision && !self.is_unknown(after);
        is_covered.then(|| ObjectChanges {
            events: self
                .history
                .iter()
                .filter(|(label, event)| {
                    *label == kind.label() && event.object.revision.number > after
                })
                .map(|(_, event)| event.clone())
                .collect(),
            revision: self.revision.into(),
        })
    }

    /// Returns one object.
    pub(crate) fn get(&self, kind: ObjectKind, name: &str) -> Option<&PlatformObject> {
        self.objects.get(&(kind.label(), name.into()))
    }

    /// Replaces the value of an existing object, if its revision is `revision` or none is given.
    pub(crate) fn replace(
        &mut self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
        spec: serde_json::Value,
    ) -> Result<PlatformObject, WriteError> {
        let current = self.get_at(kind, name, revision)?.clone();
        if current.spec == spec {
            return Ok(current);
        }
        Ok(self.put(kind, name, spec, current.status))
    }

    /// Removes an existing object, if its revision is `revision` or none is given.
    pub(crate) fn remove_at(
        &mut self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
    ) -> Result<PlatformObject, WriteError> {
        self.get_at(kind, name, revision)?;
        self.remove(kind, name).ok_or(WriteError::NotFound)
    }

    fn get_at(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: Option<u64>,
    ) -> Result<&PlatformObject, WriteError> {
        let current = self.get(kind, name).ok_or(WriteError::NotFound)?;
        match revision.is_none_or(|revision| revision == current.revision.number) {
            true => Ok(current),
            false => Err(WriteError::Conflict),
        }
    }

    /// Creates an object, unless one of that name exists.
    pub(crate) fn create(
        &mut self,
        kind: ObjectKind,
        name: &str,
        spec: serde_json::Value,
    ) -> Result<PlatformObject, WriteError> {
        match self.get(kind, name) {
            Some(_) => Err(WriteError::Conflict),
            None => Ok(self.put(kind, name, spec, serde_json::Value::Null)),
        }
    }

    /// Creates or overwrites an object without any check; a write of the same value changes nothing.
    pub(crate) fn put(
        &mut self,
        kind: ObjectKind,
        name: &str,
        spec: serde_json::Value,
        status: serde_json::Value,
    ) -> PlatformObject {
        let same = |known: &&PlatformObject| known.spec == spec && known.status == status;
        if let Some(known) = self.get(kind, name).filter(same) {
            return known.clone();
        }
        self.revision += 1;
        let object = PlatformObject {
            name: name.into(),
            revision: self.revision.into(),
            spec,
            status,
        };
        let key = (kind.label(), name.to_string());
        self.objects.insert(key, object.clone());
        self.record_change(kind, object.clone(), false);
        object
    }

    /// Removes an object; the removal is a change with a revision of its own.
    pub(crate) fn remove(&mut self, kind: ObjectKind, name: &str) -> Option<PlatformObject> {
        let key = (kind.label(), name.to_string());
        let mut object = self.objects.shift_remove(&key)?;
        self.revision += 1;
        object.revision = self.revision.into();
        self.record_change(kind, object.clone(), true);
        Some(object)
    }

    /// Drops the history of changes.
    pub(crate) fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    fn record_change(&mut self, kind: ObjectKind, object: PlatformObject, is_removed: bool) {
        let event = ObjectEvent { object, is_removed };
        self.history.push_back((kind.label(), event));
        if self.history.len() > Self::MAX_HISTORY
            && let Some((_, dropped)) = self.history.pop_front()
        {
            self.compacted_revision = dropped.object.revision.number;
        }
    }
}
