//! Objects of the simulated store, with their history.

use crate::prelude::*;

/// Objects by path, each with its most recent versions.
#[derive(Default)]
pub(crate) struct StoreObjects {
    version: u64,
    objects: IndexMap<String, Vec<ObjectState>>,
}

/// One version of an object.
#[derive(Clone)]
pub(crate) struct ObjectState {
    /// Version number, increasing over all objects.
    pub(crate) version: u64,
    /// Time of the write.
    pub(crate) at: MonoTime,
    /// Value of the object; `None` for a removal.
    pub(crate) value: Option<Value>,
}

impl StoreObjects {
    /// Number of versions kept per object.
    const MAX_HISTORY: usize = 512;

    /// Version of an object that was current at `when`.
    pub(crate) fn at(&self, path: &str, when: MonoTime) -> Option<&ObjectState> {
        let history = self.objects.get(path)?;
        history.iter().rev().find(|state| state.at <= when)
    }

    /// All kept versions of an object, oldest first.
    pub(crate) fn history(&self, path: &str) -> &[ObjectState] {
        self.objects.get(path).map_or(&[], Vec::as_slice)
    }

    /// Paths of all objects that start with `prefix`.
    pub(crate) fn paths(&self, prefix: &str) -> Vec<String> {
        let matching = |path: &&String| path.starts_with(prefix);
        self.objects.keys().filter(matching).cloned().collect()
    }

    /// Writes or removes an object; returns the new version number.
    pub(crate) fn write(&mut self, path: &str, value: Option<Value>) -> u64 {
        self.version += 1;
        let history = self.objects.entry(path.into()).or_default();
        if history.len() == Self::MAX_HISTORY {
            history.remove(0);
        }
        history.push(ObjectState {
            version: self.version,
            at: SteadyClock.now(),
            value,
        });
        self.version
    }

    /// Objects under `prefix` that changed after a version, as they were at `when`.
    pub(crate) fn changes_after(&self, prefix: &str, after: u64, when: MonoTime) -> WatchBatch {
        let visible = |path: &String| {
            let state = self.at(path, when)?;
            (state.version > after).then(|| WatchEvent {
                path: ObjectPath::new(path),
                version: ObjectVersion(state.version),
                value: state.value.clone(),
            })
        };
        let mut events: Vec<_> = self.paths(prefix).iter().filter_map(visible).collect();
        events.sort_by_key(|event| event.version);
        let states = self.objects.values().flatten();
        let latest = states
            .filter(|state| state.at <= when)
            .map(|state| state.version)
            .max();
        WatchBatch {
            version: ObjectVersion(latest.unwrap_or(0).max(after)),
            events,
        }
    }
}
