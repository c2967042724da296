//! Objects of the store stand-in, with their history.

use crate::prelude::*;

/// Objects by path, each with its latest states.
#[derive(Default)]
pub(crate) struct StoreObjects {
    version: u64,
    objects: IndexMap<String, Vec<ObjectState>>,
}

/// One state of an object.
#[derive(Clone)]
pub(crate) struct ObjectState {
    /// Version.
    pub(crate) version: u64,
    /// When it was written.
    pub(crate) at: MonoTime,
    /// Value, none when the object was removed.
    pub(crate) value: Option<Value>,
}

impl StoreObjects {
    /// States kept per object.
    const MAX_HISTORY: usize = 512;

    /// State of an object at `when`.
    pub(crate) fn at(&self, path: &str, when: MonoTime) -> Option<&ObjectState> {
        let history = self.objects.get(path)?;
        history.iter().rev().find(|state| state.at <= when)
    }

    /// All states of an object.
    pub(crate) fn history(&self, path: &str) -> &[ObjectState] {
        self.objects.get(path).map_or(&[], Vec::as_slice)
    }

    /// Paths under `prefix`.
    pub(crate) fn paths(&self, prefix: &str) -> Vec<String> {
        let matching = |path: &&String| path.starts_with(prefix);
        self.objects.keys().filter(matching).cloned().collect()
    }

    /// Writes a state; returns its version.
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

    /// Changes under `prefix` after a version, as they stood at `when`.
    pub(crate) fn batch(&self, prefix: &str, after: u64, when: MonoTime) -> WatchBatch {
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
        let complete = states
            .filter(|state| state.at <= when)
            .map(|state| state.version)
            .max();
        WatchBatch {
            version: ObjectVersion(complete.unwrap_or(0).max(after)),
            events,
        }
    }
}
