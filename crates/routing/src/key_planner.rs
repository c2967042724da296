//! Which ranges of keys move to which server.
//!
//! Keys of servers that leave are spread over the others. Beyond that, the server with most load
//! for its speed hands its densest stretch of keys to the one with least, so that a hot stretch is
//! split while few keys change hands.

use crate::prelude::*;

/// Plans moves within one record.
#[derive(Clone, Copy, Debug)]
pub struct KeyPlanner {
    /// Load over the mean at which a server hands keys over.
    pub tolerance: f64,
    /// Load under the mean at which a server is given keys though no other is over the tolerance.
    pub idle: f64,
    /// Excess over the mean below which it is noise, in requests of the window.
    pub least_excess: f64,
    /// Most moves planned at once.
    pub max_moves: usize,
    /// Most ranges of a record; beyond, only keys of servers that leave move.
    pub max_ranges: usize,
}

/// A server that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedServer {
    /// Which life of which server.
    pub mark: ServerMark,
    /// Requests a second that it can serve.
    pub capacity: f64,
}

/// What a planner wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyPlan {
    /// All keys dealt out for the first time.
    Deal(KeyRecord),
    /// Some keys moved.
    Change(RecordDelta),
}

impl KeyPlan {
    /// Record after the plan.
    pub fn apply(&self, record: &KeyRecord) -> KeyRecord {
        match self {
            Self::Deal(dealt) => dealt.clone(),
            Self::Change(delta) => delta.apply(record),
        }
    }
}

/// A record with the moves that have been planned so far.
struct PlanDraft {
    record: KeyRecord,
    moves: Vec<RangeMove>,
}

impl PlanDraft {
    fn assign(&mut self, first: u16, last: u16, owner: &ServerMark, released: bool) {
        self.record.assign(first, last, owner, released);
        self.moves.push(RangeMove {
            first,
            last,
            owner: owner.clone(),
            released,
        });
    }
}

impl Default for KeyPlanner {
    fn default() -> Self {
        Self {
            tolerance: 1.2,
            idle: 0.5,
            least_excess: 6.0,
            max_moves: 6,
            max_ranges: 400,
        }
    }
}

impl KeyPlanner {
    /// What is due, none when nothing is.
    ///
    /// `servers` may own keys; `is_free` tells whether a server can hold nothing any more under a
    /// fence; `weights` are the requests of the window by key.
    pub fn plan(
        &self,
        record: &KeyRecord,
        servers: &[PlannedServer],
        weights: &[(u16, f64)],
        is_free: impl Fn(&ServerMark, u64) -> bool,
    ) -> Option<KeyPlan> {
        if servers.is_empty() {
            return None;
        }
        if record.ranges.is_empty() {
            let mut dealt = record.clone();
            let shares: Vec<(ServerMark, f64)> = servers
                .iter()
                .map(|server| (server.mark.clone(), server.capacity))
                .collect();
            dealt.deal(&shares);
            return Some(KeyPlan::Deal(dealt));
        }
        let mut draft = PlanDraft {
            record: record.clone(),
            moves: Vec::new(),
        };
        let mut loads = LoadSums::new(record, servers, weights);
        self.evacuate(&mut draft, servers, &mut loads, weights, is_free);
        if draft.record.ranges.len() < self.max_ranges {
            self.level(&mut draft, servers, &mut loads, weights);
        }
        let delta = RecordDelta {
            moves: draft.moves,
            ..RecordDelta::default()
        };
        (!delta.is_empty()).then_some(KeyPlan::Change(delta))
    }

    /// Moves each range whose owner may not own keys any more.
    fn evacuate(
        &self,
        draft: &mut PlanDraft,
        servers: &[PlannedServer],
        loads: &mut LoadSums,
        weights: &[(u16, f64)],
        is_free: impl Fn(&ServerMark, u64) -> bool,
    ) {
        let leaving: Vec<KeyRange> = draft
            .record
            .ranges
            .iter()
            .filter(|range| !servers.iter().any(|server| server.mark == range.owner))
            .cloned()
            .collect();
        for range in leaving {
            let owner_is_free = is_free(&range.owner, range.fence);
            // A range on its way whose new owner vanished has two servers that may hold it; it
            // waits until the new one can hold nothing.
            if !range.is_settled() && !owner_is_free {
                continue;
            }
            let released = owner_is_free && range.is_settled();
            for (first, last) in loads.pieces(&range, servers, weights) {
                let position = loads.least(servers);
                let weight = weight_of(weights, first, last);
                loads.add(position, weight, u32::from(last) - u32::from(first) + 1);
                draft.assign(first, last, &servers[position].mark, released);
            }
        }
    }

    /// Moves stretches from the servers with most load for their capacity.
    fn level(
        &self,
        draft: &mut PlanDraft,
        servers: &[PlannedServer],
        loads: &mut LoadSums,
        weights: &[(u16, f64)],
    ) {
        let mut stuck = vec![false; servers.len()];
        let mut moves = 0;
        while moves < self.max_moves {
            let Some(most) = loads.most(servers, &stuck) else {
                return;
            };
            let least = loads.least(servers);
            if !self.is_uneven(loads, servers, most, least) {
                return;
            }
            let wanted = loads.wanted(servers, most, least);
            let piece = densest(&draft.record, &servers[most].mark, weights, wanted);
            let Some(piece) =
                piece.filter(|piece| loads.improves(servers, most, least, piece.weight))
            else {
                // Its load is in too few keys to be split; another one may still be relieved.
                stuck[most] = true;
                continue;
            };
            draft.assign(piece.first, piece.last, &servers[least].mark, false);
            loads.weight[most] -= piece.weight;
            loads.weight[least] += piece.weight;
            moves += 1;
        }
    }

    /// Whether the load of one server over another is more than tolerance and noise.
    fn is_uneven(
        &self,
        loads: &LoadSums,
        servers: &[PlannedServer],
        most: usize,
        least: usize,
    ) -> bool {
        let mean = loads.mean(servers);
        let fair = mean * servers[most].capacity;
        let lack = mean * servers[least].capacity - loads.weight[least];
        let excess = loads.weight[most] - fair;
        let is_over = loads.weight[most] > self.tolerance * fair;
        let is_idle = loads.weight[least] < self.idle * mean * servers[least].capacity;
        most != least
            && excess > 0.0
            && lack > 0.0
            && (is_over || is_idle)
            && excess.max(lack) >= self.least_excess
    }
}

/// A stretch of keys within one settled range.
struct KeyPiece {
    first: u16,
    last: u16,
    weight: f64,
}

/// Stretch of an owner's settled ranges that carries most of what is wanted in fewest keys.
fn densest(
    record: &KeyRecord,
    owner: &ServerMark,
    weights: &[(u16, f64)],
    wanted: f64,
) -> Option<KeyPiece> {
    /// Load over what is wanted that a stretch may carry.
    const OVERSHOOT: f64 = 1.3;
    /// Share of the wanted load from which on fewer keys count more than more load.
    const ENOUGH: f64 = 0.8;
    let mut best: Option<(f64, KeyPiece)> = None;
    let owned = record
        .ranges
        .iter()
        .filter(|range| range.owner == *owner && range.is_settled());
    for range in owned {
        let keys = slice_of(weights, range.first, range.last);
        let mut start = 0;
        let mut sum = 0.0;
        for end in 0..keys.len() {
            sum += keys[end].1;
            while start < end
                && (sum > wanted * OVERSHOOT || sum - keys[start].1 >= wanted * ENOUGH)
            {
                sum -= keys[start].1;
                start += 1;
            }
            let span = f64::from(keys[end].0 - keys[start].0) / 65_536.0;
            let score = (sum / (wanted * ENOUGH)).min(1.0) - span;
            if best.as_ref().is_none_or(|(most, _)| score > *most) {
                let piece = KeyPiece {
                    first: keys[start].0,
                    last: keys[end].0,
                    weight: sum,
                };
                best = Some((score, piece));
            }
        }
    }
    best.map(|(_, piece)| piece)
}

fn slice_of(weights: &[(u16, f64)], first: u16, last: u16) -> &[(u16, f64)] {
    let from = weights.partition_point(|(key, _)| *key < first);
    let to = weights.partition_point(|(key, _)| *key <= last);
    &weights[from..to]
}

fn weight_of(weights: &[(u16, f64)], first: u16, last: u16) -> f64 {
    slice_of(weights, first, last)
        .iter()
        .map(|(_, weight)| weight)
        .sum()
}

/// Load and keys by server, in the servers' order.
struct LoadSums {
    weight: Vec<f64>,
    keys: Vec<u32>,
}

impl LoadSums {
    /// Share of the mean load that a server's share of keys counts for where no request was seen.
    const KEY_SHARE: f64 = 0.02;

    fn new(record: &KeyRecord, servers: &[PlannedServer], weights: &[(u16, f64)]) -> Self {
        let mut sums = Self {
            weight: vec![0.0; servers.len()],
            keys: vec![0; servers.len()],
        };
        for range in &record.ranges {
            let owner = servers.iter().position(|server| server.mark == range.owner);
            if let Some(position) = owner {
                sums.weight[position] += weight_of(weights, range.first, range.last);
                sums.keys[position] += range.len();
            }
        }
        sums
    }

    fn add(&mut self, position: usize, weight: f64, keys: u32) {
        self.weight[position] += weight;
        self.keys[position] += keys;
    }

    /// Load for each unit of capacity.
    fn mean(&self, servers: &[PlannedServer]) -> f64 {
        let capacity: f64 = servers.iter().map(|server| server.capacity).sum();
        self.weight.iter().sum::<f64>() / capacity
    }

    fn relative(&self, position: usize, servers: &[PlannedServer]) -> f64 {
        let total: f64 = self.weight.iter().sum::<f64>().max(1.0);
        let by_keys = f64::from(self.keys[position]) / 65_536.0 * total * Self::KEY_SHARE;
        (self.weight[position] + by_keys) / servers[position].capacity
    }

    /// Server with most load for its capacity, but for those left out.
    fn most(&self, servers: &[PlannedServer], left_out: &[bool]) -> Option<usize> {
        (0..servers.len())
            .filter(|&position| !left_out[position])
            .max_by(|&a, &b| {
                self.relative(a, servers)
                    .total_cmp(&self.relative(b, servers))
            })
    }

    /// Load that would make both servers equal for their capacities.
    fn wanted(&self, servers: &[PlannedServer], most: usize, least: usize) -> f64 {
        let (high, low) = (servers[most].capacity, servers[least].capacity);
        (self.weight[most] * low - self.weight[least] * high) / (high + low)
    }

    /// Whether the receiver of a stretch stays clearly below what the giver had.
    fn improves(&self, servers: &[PlannedServer], most: usize, least: usize, weight: f64) -> bool {
        /// Share of the giver's load up to which the receiver's may rise.
        const IMPROVED: f64 = 0.9;
        let before = self.weight[most] / servers[most].capacity;
        let after = (self.weight[least] + weight) / servers[least].capacity;
        after <= before * IMPROVED
    }

    fn least(&self, servers: &[PlannedServer]) -> usize {
        (0..servers.len())
            .min_by(|&a, &b| {
                self.relative(a, servers)
                    .total_cmp(&self.relative(b, servers))
            })
            .unwrap_or_default()
    }

    /// Cuts a range into pieces that fit the room of the servers that take them.
    fn pieces(
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
