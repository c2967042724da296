//! The platform's list of instances, which lags behind the truth.

use crate::prelude::*;

/// One entry of the list.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ListEntry {
    /// Name.
    pub name: String,
    /// Number of its run.
    pub incarnation: u64,
    /// Address of its peers' listener.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Whether it is `live` or `leaving`.
    pub state: &'static str,
}

/// All changes to the list, each with its time.
#[derive(Default)]
pub(crate) struct InstanceList {
    changes: Vec<(MonoTime, String, Option<ListEntry>)>,
}

impl InstanceList {
    /// Notes an instance's entry, none when it has ended.
    pub(crate) fn change(&mut self, name: &str, entry: Option<ListEntry>) {
        self.changes.push((SteadyClock.now(), name.into(), entry));
    }

    /// Marks an instance as leaving.
    pub(crate) fn leaving(&mut self, name: &str) {
        let latest = self.at(SteadyClock.now()).swap_remove(name);
        if let Some(entry) = latest {
            let state = "leaving";
            self.change(name, Some(ListEntry { state, ..entry }));
        }
    }

    /// The list as it stood at `when`.
    pub(crate) fn at(&self, when: MonoTime) -> IndexMap<String, ListEntry> {
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
