//! Observation of the configuration revision that each instance has in force.

use crate::prelude::*;

/// Revisions observed at all instances, by number, across restarts.
#[derive(Default)]
pub(crate) struct RevisionObserver {
    highest: IndexMap<usize, u64>,
    in_force: IndexMap<(u64, usize), Duration>,
    below_highest: Vec<usize>,
    reverted: u64,
}

impl RevisionObserver {
    /// Reads the revisions of all instances that serve.
    pub(crate) fn observe(&mut self, cluster: &TestCluster) {
        let now = SteadyClock.now();
        let accepted = cluster.operator.accepted();
        for (index, instance) in cluster.instances.iter().enumerate() {
            let revision = instance.revision();
            if revision == 0 || !instance.is_ready() || cluster.serving_since(index).is_none() {
                continue;
            }
            let highest = self.highest.entry(index).or_default();
            let is_below = revision < *highest;
            if is_below && !self.below_highest.contains(&index) {
                self.reverted += 1;
            }
            self.below_highest.retain(|known| *known != index);
            if is_below {
                self.below_highest.push(index);
            }
            *highest = revision.max(*highest);
            for (change, at) in accepted.iter().filter(|(change, _)| *change <= revision) {
                let time = self.in_force.entry((*change, index));
                time.or_insert(now.since(*at));
            }
        }
    }

    /// Number of times that an instance went back to a lower revision.
    pub(crate) fn reverted(&self) -> u64 {
        self.reverted
    }

    /// Time from each change's acceptance until it was in force, by change and instance.
    ///
    /// Changes accepted before `since` are left out. A change that is not in force yet counts with
    /// the time that has passed.
    pub(crate) fn in_force(&self, cluster: &TestCluster, since: MonoTime) -> Vec<Duration> {
        let now = SteadyClock.now();
        let mut times = Vec::new();
        for (change, at) in cluster.operator.accepted() {
            for (index, instance) in cluster.instances.iter().enumerate() {
                let was_serving = cluster.serving_since(index).is_some_and(|start| start < at);
                if at >= since && was_serving && instance.is_ready() {
                    let known = self.in_force.get(&(change, index)).copied();
                    times.push(known.unwrap_or(now.since(at)));
                }
            }
        }
        times
    }
}
