//! Load of a service's servers, as the planner sums it up.

use crate::{key_piece::weight_of, prelude::*};

/// Load and keys by server, in the servers' order.
pub(crate) struct LoadSums {
    pub(crate) weight: Vec<f64>,
    keys: Vec<u32>,
}

impl LoadSums {
    /// Share of the mean load that a server's share of keys counts for where no request was seen.
    const KEY_SHARE: f64 = 0.02;

    pub(crate) fn new(
        record: &KeyRecord,
        servers: &[PlannedServer],
        weights: &[(u16, f64)],
    ) -> Self {
        let mut sums = Self {
            weight: vec![0.0; servers.len()],
            keys: vec![0; servers.len()],
        };
        for range in &record.ranges {
            let owner = servers
                .iter()
                .position(|server| server.incarnation == range.owner);
            if let Some(position) = owner {
                sums.weight[position] += weight_of(weights, range.first, range.last);
                sums.keys[position] += range.len();
            }
        }
        sums
    }

    pub(crate) fn add(&mut self, position: usize, weight: f64, keys: u32) {
        self.weight[position] += weight;
        self.keys[position] += keys;
    }

    /// Load for each unit of capacity.
    pub(crate) fn mean(&self, servers: &[PlannedServer]) -> f64 {
        let capacity: f64 = servers.iter().map(|server| server.capacity).sum();
        self.weight.iter().sum::<f64>() / capacity
    }

    fn relative(&self, position: usize, servers: &[PlannedServer]) -> f64 {
        let total: f64 = self.weight.iter().sum::<f64>().max(1.0);
        let by_keys = f64::from(self.keys[position]) / 65_536.0 * total * Self::KEY_SHARE;
        (self.weight[position] + by_keys) / servers[position].capacity
    }

    /// Server with most load for its capacity, but for those left out.
    pub(crate) fn most(&self, servers: &[PlannedServer], left_out: &[bool]) -> Option<usize> {
        (0..servers.len())
            .filter(|&position| !left_out[position])
            .max_by(|&a, &b| {
                self.relative(a, servers)
                    .total_cmp(&self.relative(b, servers))
            })
    }

    /// Load that would make both servers equal for their capacities.
    pub(crate) fn wanted(&self, servers: &[PlannedServer], most: usize, least: usize) -> f64 {
        let (high, low) = (servers[most].capacity, servers[least].capacity);
        (self.weight[most] * low - self.weight[least] * high) / (high + low)
    }

    /// Whether the receiver of a stretch stays clearly below what the giver had.
    pub(crate) fn improves(
        &self,
        servers: &[PlannedServer],
        most: usize,
        least: usize,
        weight: f64,
    ) -> bool {
        /// Share of the giver's load up to which the receiver's may rise.
        const IMPROVED: f64 = 0.9;
        /// The same for a stretch with much of all load: its requests are held up until those that
        /// wait at the giver have run, so that a like server is no relief.
        const IMPROVED_HOT: f64 = 0.7;
        /// Share of all load from which on a stretch counts as such.
        const HOT_SHARE: f64 = 0.12;
        let is_hot = weight > self.weight.iter().sum::<f64>() * HOT_SHARE;
        let improved = if is_hot { IMPROVED_HOT } else { IMPROVED };
        let before = self.weight[most] / servers[most].capacity;
        let after = (self.weight[least] + weight) / servers[least].capacity;
        after <= before * improved
    }

    /// Server that would have least load for its capacity with `weight` more.
    pub(crate) fn best_for(&self, servers: &[PlannedServer], giver: usize, weight: f64) -> usize {
        let after =
            |position: &usize| (self.weight[*position] + weight) / servers[*position].capacity;
        (0..servers.len())
            .filter(|position| *position != giver)
            .min_by(|one, other| after(one).total_cmp(&after(other)))
            .unwrap_or(giver)
    }

    pub(crate) fn least(&self, servers: &[PlannedServer]) -> usize {
        (0..servers.len())
            .min_by(|&a, &b| {
                self.relative(a, servers)
                    .total_cmp(&self.relative(b, servers))
            })
            .unwrap_or_default()
    }

    /// Cuts a range into pieces that fit the room of the servers that take them.
    pub(crate) fn pieces(
        &self,
        range: &KeyRange,
        servers: &[PlannedServer],
        weights: &[(u16, f64)],
    ) -> Vec<(u16, u16)> {
        let whole = weight_of(weights, range.first, range.last);
        let mean: f64 = self.weight.iter().sum::<f64>() / servers.len().max(1) as f64;
        let count = match whole > 0.0 && mean > 0.0 {
            true => (whole / (mean * 0.5)).ceil().clamp(1.0, 4.0) as u32,
            false => (range.len() * 2 * servers.len() as u32 / 65_536).clamp(1, 4),
        };
        let step = (range.len() / count).max(1);
        let mut pieces = Vec::new();
        let mut first = u32::from(range.first);
        let end = u32::from(range.last);
        while first <= end {
            let is_last = pieces.len() as u32 + 1 >= count;
            let last = if is_last {
                end
            } else {
                (first + step - 1).min(end)
            };
            pieces.push((first as u16, last as u16));
            first = last + 1;
        }
        pieces
    }
}
