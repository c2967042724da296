//! Load of a service's servers, summed up for the planner.

use crate::{key_span::total_weight, prelude::*};

/// Load and number of keys per server, in the order of the planner's servers.
pub(crate) struct ServerLoads {
    pub(crate) weight: Vec<f64>,
    keys: Vec<u32>,
    /// Whether a server is left out when keys move for balance: those with a limit are, unless all
    /// have one.
    pub(crate) is_left_out: Vec<bool>,
}

impl ServerLoads {
    /// Share of the total load that is attributed to servers by their number of keys, so that
    /// servers without requests in the window differ too.
    const KEY_SHARE: f64 = 0.02;

    pub(crate) fn new(
        record: &KeyRecord,
        servers: &[PlannedServer],
        weights: &[(u16, f64)],
    ) -> Self {
        let are_all_limited = servers.iter().all(|server| server.limit.is_some());
        let is_left_out = |server: &PlannedServer| server.limit.is_some() && !are_all_limited;
        let mut sums = Self {
            weight: vec![0.0; servers.len()],
            keys: vec![0; servers.len()],
            is_left_out: servers.iter().map(is_left_out).collect(),
        };
        let positions: IndexMap<&ServerIncarnation, usize> = servers
            .iter()
            .enumerate()
            .map(|(position, server)| (&server.incarnation, position))
            .collect();
        for range in &record.ranges {
            if let Some(&position) = positions.get(&range.owner) {
                sums.weight[position] += total_weight(weights, range.first, range.last);
                sums.keys[position] += range.len();
            }
        }
        sums
    }

    pub(crate) fn add(&mut self, position: usize, weight: f64, keys: u32) {
        self.weight[position] += weight;
        self.keys[position] += keys;
    }

    /// Load per unit of capacity over all servers.
    pub(crate) fn mean(&self, servers: &[PlannedServer]) -> f64 {
        let capacity: f64 = servers.iter().map(|server| server.capacity).sum();
        self.weight.iter().sum::<f64>() / capacity
    }

    fn relative_load(&self, position: usize, servers: &[PlannedServer]) -> f64 {
        let total: f64 = self.weight.iter().sum::<f64>().max(1.0);
        let load_by_keys = f64::from(self.keys[position]) / 65_536.0 * total * Self::KEY_SHARE;
        (self.weight[position] + load_by_keys) / servers[position].capacity
    }

    /// Server with the highest load for its capacity, except those left out.
    pub(crate) fn most_loaded(
        &self,
        servers: &[PlannedServer],
        is_left_out: &[bool],
    ) -> Option<usize> {
        (0..servers.len())
            .filter(|&position| !is_left_out[position])
            .max_by(|&a, &b| {
                self.relative_load(a, servers)
                    .total_cmp(&self.relative_load(b, servers))
            })
    }

    /// Load that has to move from one server to the other to make them equally loaded for their
    /// capacities, or less if that fills the receiver: the rest goes to others at the same time.
    pub(crate) fn wanted_load(
        &self,
        servers: &[PlannedServer],
        giver: usize,
        receiver: usize,
    ) -> f64 {
        /// Load of a receiver, as a multiple of its fair share, that fills it.
        const FILL_RATIO: f64 = 1.2;
        /// Share of the equalising load that moves in any case.
        const MIN_SHARE: f64 = 0.25;
        let (high, low) = (servers[giver].capacity, servers[receiver].capacity);
        let equalising = (self.weight[giver] * low - self.weight[receiver] * high) / (high + low);
        let room = self.mean(servers) * low * FILL_RATIO - self.weight[receiver];
        equalising.min(room.max(equalising * MIN_SHARE))
    }

    /// Load above `ratio` times the fair share of each server, in fair shares.
    pub(crate) fn excess_shares(&self, servers: &[PlannedServer], ratio: f64) -> f64 {
        let mean = self.mean(servers);
        let excess = |(weight, server): (&f64, &PlannedServer)| {
            let fair_load = (mean * server.capacity).max(f64::MIN_POSITIVE);
            (weight / fair_load - ratio).max(0.0)
        };
        self.weight.iter().zip(servers).map(excess).sum()
    }

    /// Whether the receiver of a span stays clearly below the load that the giver had.
    pub(crate) fn improves(
        &self,
        servers: &[PlannedServer],
        giver: usize,
        receiver: usize,
        weight: f64,
    ) -> bool {
        /// Share of the giver's load up to which the receiver's load may rise.
        const MAX_RECEIVER_SHARE: f64 = 0.9;
        /// The same for a hot span. Its requests wait until those queued at the giver have run, so
        /// a receiver of similar speed brings no relief.
        const MAX_RECEIVER_SHARE_HOT: f64 = 0.7;
        /// Share of the total load above which a span counts as hot.
        const HOT_SHARE: f64 = 0.12;
        let is_hot = weight > self.weight.iter().sum::<f64>() * HOT_SHARE;
        let max_share = if is_hot {
            MAX_RECEIVER_SHARE_HOT
        } else {
            MAX_RECEIVER_SHARE
        };
        let before = self.weight[giver] / servers[giver].capacity;
        let after = (self.weight[receiver] + weight) / servers[receiver].capacity;
        after <= before * max_share
    }

    /// Server other than the giver that would have the lowest load for its capacity with `weight`
    /// added, among those that are not left out.
    pub(crate) fn best_receiver(
        &self,
        servers: &[PlannedServer],
        giver: usize,
        weight: f64,
    ) -> usize {
        let after = |position: &usize| self.load_after(servers, *position, weight);
        (0..servers.len())
            .filter(|position| *position != giver && !self.is_left_out[*position])
            .min_by(|one, other| after(one).total_cmp(&after(other)))
            .unwrap_or(giver)
    }

    /// Server other than the giver that would have the lowest load for its capacity with `weight`
    /// added, among those that keep within their limits and below the giver's load.
    pub(crate) fn bearing_receiver(
        &self,
        servers: &[PlannedServer],
        giver: usize,
        weight: f64,
    ) -> Option<usize> {
        let after = |position: &usize| self.load_after(servers, *position, weight);
        let giver_load = self.weight[giver] / servers[giver].capacity;
        (0..servers.len())
            .filter(|position| {
                *position != giver && servers[*position].can_bear(self.weight[*position] + weight)
            })
            .min_by(|one, other| after(one).total_cmp(&after(other)))
            .filter(|position| after(position) < giver_load)
    }

    fn load_after(&self, servers: &[PlannedServer], position: usize, weight: f64) -> f64 {
        (self.weight[position] + weight) / servers[position].capacity
    }

    /// Server with the lowest load for its capacity, among those that are not left out.
    pub(crate) fn least_loaded(&self, servers: &[PlannedServer]) -> usize {
        (0..servers.len())
            .filter(|position| !self.is_left_out[*position])
            .min_by(|&a, &b| {
                self.relative_load(a, servers)
                    .total_cmp(&self.relative_load(b, servers))
            })
            .unwrap_or_default()
    }

    /// Splits a range into up to four pieces, so that several servers can take over its load.
    pub(crate) fn split_range(
        &self,
        range: &KeyRange,
        servers: &[PlannedServer],
        weights: &[(u16, f64)],
    ) -> Vec<(u16, u16)> {
        let range_load = total_weight(weights, range.first, range.last);
        let mean: f64 = self.weight.iter().sum::<f64>() / servers.len().max(1) as f64;
        let count = match range_load > 0.0 && mean > 0.0 {
            true => (range_load / (mean * 0.5)).ceil().clamp(1.0, 4.0) as u32,
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
