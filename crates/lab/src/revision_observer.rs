//! Which revision of the configuration each instance has in force.

use crate::prelude::*;

/// Observations of all instances, by name across restarts.
#[derive(Default)]
pub(crate) struct RevisionObserver {
    highest: IndexMap<usize, u64>,
    in_force: IndexMap<(u64, usize), Duration>,
    below: Vec<usize>,
    reverted: u64,
}

impl RevisionObserver {
    /// Looks at all instances that serve.
    pub(crate) fn observe(&mut self, bench: &TestCluster) {
        let now = SteadyClock.now();
        let accepted = bench.operator.accepted();
        for (index, instance) in bench.instances.iter().enumerate() {
            let revision = instance.revision();
            if revision == 0 || !instance.is_ready() || bench.served_since(index).is_none() {
                continue;
            }
            let highest = self.highest.entry(index).or_default();
            let below = revision < *highest;
            if below && !self.below.contains(&index) {
                self.reverted += 1;
            }
            self.below.retain(|known| *known != index);
            if below {
                self.below.push(index);
            }
            *highest = revision.max(*highest);
            for (change, at) in accepted.iter().filter(|(change, _)| *change <= revision) {
                let taken = self.in_force.entry((*change, index));
                taken.or_insert(now.since(*at));
            }
        }
    }

    /// Falls to a lower revision.
    pub(crate) fn reverted(&self) -> u64 {
        self.reverted
    }

    /// Times from a change's acceptance to its being in force, per change and instance; a change
    /// that is not yet in force counts with the time so far.
    pub(crate) fn in_force(&self, bench: &TestCluster, since: MonoTime) -> Vec<Duration> {
        let now = SteadyClock.now();
        let mut times = Vec::new();
        for (change, at) in bench.operator.accepted() {
            for (index, instance) in bench.instances.iter().enumerate() {
                let there = bench.served_since(index).is_some_and(|start| start < at);
                if at >= since && there && instance.is_ready() {
                    let known = self.in_force.get(&(change, index)).copied();
                    times.push(known.unwrap_or(now.since(at)));
                }
            }
        }
        times
    }
}
