//! The platform's list of instances, which lags behind the truth.

use crate::prelude::*;

/// All changes to the list, each with its time.
#[derive(Default)]
pub(crate) struct InstanceList {
    changes: Vec<(MonoTime, String, Option<ListedInstance>)>,
}

impl InstanceList {
    /// Notes an instance's entry, none when it has ended.
    pub(crate) fn change(&mut self, name: &str, entry: Option<ListedInstance>) {
        self.changes.push((SteadyClock.now(), name.into(), entry));
    }

    /// Marks an instance as leaving.
    pub(crate) fn leaving(&mut self, name: &str) {
        let latest = self.at(SteadyClock.now()).swap_remove(name);
        if let Some(entry) = latest {
            let state = ListedState::Leaving;
            self.change(name, Some(ListedInstance { state, ..entry }));
        }
    }

    /// The list as it stood at `when`.
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
