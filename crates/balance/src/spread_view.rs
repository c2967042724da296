//! The spread of load over servers while a plan is made.

use crate::prelude::*;

/// Slices and the load that they bring to each server.
#[derive(Clone, Debug)]
pub(crate) struct SpreadView<'a> {
    pub(crate) servers: &'a [ServerCapacity],
    pub(crate) slices: Vec<PlannedSlice>,
    loads: Vec<f64>,
}

/// A move that would lower the busiest server's utilisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MoveOption {
    /// Position of the slice.
    pub(crate) slice: usize,
    /// Position of the new owner.
    pub(crate) to: usize,
    /// Higher utilisation of the two servers after the move.
    pub(crate) utilisation: f64,
}

impl<'a> SpreadView<'a> {
    /// Spread of `slices` over `servers`.
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

    /// Mean utilisation of all slots.
    pub(crate) fn mean(&self) -> f64 {
        let slots: f64 = self.servers.iter().map(|server| server.slots).sum();
        self.loads.iter().sum::<f64>() / slots.max(f64::MIN_POSITIVE)
    }

    /// Mean load of a server.
    pub(crate) fn mean_load(&self) -> f64 {
        self.loads.iter().sum::<f64>() / self.servers.len().max(1) as f64
    }

    /// Utilisation of a server with `extra` load.
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

    /// Best move of one slice away from `from`.
    pub(crate) fn best_move(&self, from: usize, near_bonus: f64) -> Option<MoveOption> {
        let movable =
            |slice: &PlannedSlice| slice.owner == Some(from) && slice.movable && slice.load > 0.0;
        self.slices
            .iter()
            .enumerate()
            .filter(|(_, slice)| movable(slice))
            .filter_map(|(index, slice)| self.placed(index, slice.load, from, near_bonus))
            .min_by(|left, right| left.utilisation.total_cmp(&right.utilisation))
    }

    fn placed(&self, slice: usize, load: f64, from: usize, near_bonus: f64) -> Option<MoveOption> {
        let cost = |server: usize| {
            let far = if self.servers[server].same_data_centre {
                0.0
            } else {
                near_bonus * self.mean()
            };
            self.utilisation(server, load) + far
        };
        let to = (0..self.servers.len())
            .filter(|server| *server != from)
            .min_by(|left, right| cost(*left).total_cmp(&cost(*right)))?;
        let left_behind = self.utilisation(from, -load);
        Some(MoveOption {
            slice,
            to,
            utilisation: left_behind.max(self.utilisation(to, load)),
        })
    }

    /// Gives a slice to another server.
    pub(crate) fn shift(&mut self, slice: usize, to: usize) {
        let load = self.slices[slice].load;
        if let Some(from) = self.slices[slice].owner {
            self.loads[from] -= load;
        }
        self.loads[to] += load;
        self.slices[slice].owner = Some(to);
        self.slices[slice].movable = false;
    }

    /// Cuts a slice at `at`; the second half takes `load` of it.
    pub(crate) fn cut(&mut self, slice: usize, at: u64, load: f64) {
        let first = &mut self.slices[slice];
        let mut second = first.clone();
        let moved = load.min(first.load);
        first.end = at - 1;
        first.load -= moved;
        second.start = at;
        second.load = moved;
        self.slices.insert(slice + 1, second);
    }

    /// Position of the slice that holds `hash`.
    pub(crate) fn position(&self, hash: u64) -> Option<usize> {
        let after = self.slices.partition_point(|slice| slice.start <= hash);
        let index = after.checked_sub(1)?;
        (self.slices[index].end >= hash).then_some(index)
    }
}
