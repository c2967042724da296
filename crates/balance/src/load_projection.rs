//! The expected load of each server while a plan is made.

use crate::prelude::*;

/// Slices with their owners, and the load that they add up to at each server.
#[derive(Clone, Debug)]
pub(crate) struct LoadProjection<'a> {
    pub(crate) servers: &'a [ServerCapacity],
    pub(crate) slices: Vec<PlannedSlice>,
    loads: Vec<f64>,
}

/// A move that would lower the busiest server's utilisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CandidateMove {
    /// Index of the slice.
    pub(crate) slice: usize,
    /// Index of the new owner.
    pub(crate) to: usize,
    /// Higher utilisation of the two servers after the move.
    pub(crate) utilisation: f64,
}

impl<'a> LoadProjection<'a> {
    /// Projection of `slices` on `servers`.
    pub(crate) fn new(servers: &'a [ServerCapacity], slices: Vec<PlannedSlice>) -> Self {
        let mut loads = vec![0.0; servers.len()];
        for slice in &slices {
            if let Some(owner) = slice.owner {
                loads[owner] += slice.load;
            }
        }
        Self {
            servers,
            slices,
            loads,
        }
    }

    /// Total load divided by all slots.
    pub(crate) fn mean_utilisation(&self) -> f64 {
        let slots: f64 = self.servers.iter().map(|server| server.slots).sum();
        self.loads.iter().sum::<f64>() / slots.max(f64::MIN_POSITIVE)
    }

    /// Mean load of a server.
    pub(crate) fn mean_load(&self) -> f64 {
        self.loads.iter().sum::<f64>() / self.servers.len().max(1) as f64
    }

    /// Utilisation of a server if its load changes by `extra`.
    pub(crate) fn utilisation(&self, server: usize, extra: f64) -> f64 {
        (self.loads[server] + extra) / self.servers[server].slots.max(f64::MIN_POSITIVE)
    }

    /// Server with the highest utilisation.
    pub(crate) fn busiest(&self) -> Option<usize> {
        (0..self.servers.len()).max_by(|left, right| {
            self.utilisation(*left, 0.0)
                .total_cmp(&self.utilisation(*right, 0.0))
        })
    }

    /// Move of one slice off `from` after which the more utilised of both servers is lowest.
    pub(crate) fn best_move(&self, from: usize, remote_penalty: f64) -> Option<CandidateMove> {
        let can_move =
            |slice: &PlannedSlice| slice.owner == Some(from) && slice.movable && slice.load > 0.0;
        self.slices
            .iter()
            .enumerate()
            .filter(|(_, slice)| can_move(slice))
            .filter_map(|(index, slice)| self.best_target(index, slice.load, from, remote_penalty))
            .min_by(|left, right| left.utilisation.total_cmp(&right.utilisation))
    }

    /// Move of `slice` to the server that would be least utilised, counting the penalty for servers
    /// outside the leader's data centre.
    fn best_target(
        &self,
        slice: usize,
        load: f64,
        from: usize,
        remote_penalty: f64,
    ) -> Option<CandidateMove> {
        let cost = |server: usize| {
            let penalty = if self.servers[server].same_data_centre {
                0.0
            } else {
                remote_penalty * self.mean_utilisation()
            };
            self.utilisation(server, load) + penalty
        };
        let to = (0..self.servers.len())
            .filter(|server| *server != from)
            .min_by(|left, right| cost(*left).total_cmp(&cost(*right)))?;
        let source_utilisation = self.utilisation(from, -load);
        Some(CandidateMove {
            slice,
            to,
            utilisation: source_utilisation.max(self.utilisation(to, load)),
        })
    }

    /// Assigns a slice to another server; it is not moved again within the plan.
    pub(crate) fn apply_move(&mut self, slice: usize, to: usize) {
        let load = self.slices[slice].load;
        if let Some(from) = self.slices[slice].owner {
            self.loads[from] -= load;
        }
        self.loads[to] += load;
        self.slices[slice].owner = Some(to);
        self.slices[slice].movable = false;
    }

    /// Splits a slice at `at`; the second slice gets `load`, at most that of the whole one.
    pub(crate) fn split(&mut self, slice: usize, at: u64, load: f64) {
        let first = &mut self.slices[slice];
        let mut second = first.clone();
        let moved_load = load.min(first.load);
        first.end = at - 1;
        first.load -= moved_load;
        second.start = at;
        second.load = moved_load;
        self.slices.insert(slice + 1, second);
    }

    /// Index of the slice that contains `hash`.
    pub(crate) fn slice_index(&self, hash: u64) -> Option<usize> {
        let after = self.slices.partition_point(|slice| slice.start <= hash);
        let index = after.checked_sub(1)?;
        (self.slices[index].end >= hash).then_some(index)
    }
}
