//! The store's list of instances, which may lag behind their actual state.

use crate::prelude::*;

/// All changes of the list with their times, so that the list can be read as of an earlier time.
#[derive(Default)]
pub(crate) struct InstanceList {
    changes: Vec<(MonoTime, String, Option<ListedInstance>)>,
}

impl InstanceList {
    /// Records a new entry of an instance; `None` once the instance has ended.
    pub(crate) fn change(&mut self, name: &str, entry: Option<ListedInstance>) {
        self.changes.push((SteadyClock.now(), name.into(), entry));
    }

    /// Changes the state of an instance to leaving.
    pub(crate) fn leaving(&mut self, name: &str) {
        let latest = self.at(SteadyClock.now()).swap_remove(name);
        if let Some(entry) = latest {
            let state = ListedState::Leaving;
            self.change(name, Some(ListedInstance { state, ..entry }));
        }
    }

    /// Entries of the list at the time `when`, by instance name.
    pub(crate) fn at(&self, when: MonoTime) -> IndexMap<String, ListedInstance> {
        let mut list = IndexMap::new();
        for (_, name, entry) in self.changes.iter().filter(|(at, ..)| *at <= when) {
            match entry {
                Some(entry) => list.insert(name.clone(), entry.clone()),
                None => list.swap_remove(name),
            };
        }
        list
    }
}
