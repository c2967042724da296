//! Which ranges of keys move to which server.
//!
//! Keys of servers that leave are spread over the others. Beyond that, the server with most load
//! for its speed hands its densest stretch of keys to the one with least, so that a hot stretch is
//! split while few keys change hands.

use crate::{
    key_piece::{KeyPiece, densest, weight_of},
    load_sums::LoadSums,
    prelude::*,
};

/// Plans moves within one record.
#[derive(Clone, Copy, Debug)]
pub struct KeyPlanner {
    /// Load over the mean at which a server hands keys over.
    pub overload_ratio: f64,
    /// Load under the mean at which a server is given keys though no other is over the tolerance.
    pub idle_ratio: f64,
    /// Excess over the mean below which it is noise, in requests of the window.
    pub min_excess: f64,
    /// Most moves planned at once.
    pub max_moves: usize,
    /// Most ranges of a record; beyond, only keys of servers that leave move.
    pub max_ranges: usize,
    /// Ranges of a record beyond which small ones without load go to a neighbour's owner, and
    /// neighbours at one owner are made one.
    pub merge_threshold: usize,
}

/// A server that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedServer {
    /// Which life of which server.
    pub incarnation: ServerIncarnation,
    /// Requests a second that it can serve.
    pub capacity: f64,
}

/// What a planner wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyPlan {
    /// All keys dealt out for the first time.
    Initial(KeyRecord),
    /// Some keys moved.
    Change(RecordDelta),
}

impl KeyPlan {
    /// Record after the plan.
    pub fn apply(&self, record: &KeyRecord) -> KeyRecord {
        match self {
            Self::Initial(dealt) => dealt.clone(),
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
    fn assign(&mut self, first: u16, last: u16, owner: &ServerIncarnation, released: bool) {
        self.record.assign(first, last, owner, released);
        self.moves.push(RangeMove {
            first,
            last,
            owner: owner.clone(),
            previous_released: released,
        });
    }
}

impl Default for KeyPlanner {
    fn default() -> Self {
        Self {
            overload_ratio: 1.2,
            idle_ratio: 0.5,
            min_excess: 6.0,
            max_moves: 6,
            max_ranges: 400,
            merge_threshold: 200,
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
        is_free: impl Fn(&ServerIncarnation, u64) -> bool,
    ) -> Option<KeyPlan> {
        if servers.is_empty() {
            return None;
        }
        if record.ranges.is_empty() {
            let mut dealt = record.clone();
            let shares: Vec<(ServerIncarnation, f64)> = servers
                .iter()
                .map(|server| (server.incarnation.clone(), server.capacity))
                .collect();
            dealt.distribute(&shares);
            return Some(KeyPlan::Initial(dealt));
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
        let mut merges = Vec::new();
        if record.ranges.len() > self.merge_threshold {
            join(&mut draft, servers, &loads, weights);
            merges = mergeable(&draft.record);
        }
        let delta = RecordDelta {
            moves: draft.moves,
            merges,
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
        is_free: impl Fn(&ServerIncarnation, u64) -> bool,
    ) {
        let leaving: Vec<KeyRange> = draft
            .record
            .ranges
            .iter()
            .filter(|range| {
                !servers
                    .iter()
                    .any(|server| server.incarnation == range.owner)
            })
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
                draft.assign(first, last, &servers[position].incarnation, released);
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
            let piece = densest(&draft.record, &servers[most].incarnation, weights, wanted);
            let best = |piece: &KeyPiece| loads.best_for(servers, most, piece.weight);
            let taken = piece
                .map(|piece| (best(&piece), piece))
                .filter(|(to, piece)| loads.improves(servers, most, *to, piece.weight));
            let Some((receiver, piece)) = taken else {
                // Its load is in too few keys to be split; another one may still be relieved.
                stuck[most] = true;
                continue;
            };
            draft.assign(
                piece.first,
                piece.last,
                &servers[receiver].incarnation,
                false,
            );
            loads.weight[most] -= piece.weight;
            loads.weight[receiver] += piece.weight;
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
        let is_over = loads.weight[most] > self.overload_ratio * fair;
        let is_idle = loads.weight[least] < self.idle_ratio * mean * servers[least].capacity;
        most != least
            && excess > 0.0
            && lack > 0.0
            && (is_over || is_idle)
            && excess.max(lack) >= self.min_excess
    }
}

/// Gives small ranges that carry next to no load any more to the owner of a neighbour, which
/// they become one range with: a stretch that was hot leaves its pieces behind.
fn join(
    draft: &mut PlanDraft,
    servers: &[PlannedServer],
    loads: &LoadSums,
    weights: &[(u16, f64)],
) {
    /// Most ranges joined at once.
    const MAX_JOINS: usize = 10;
    /// Most keys of a range that is joined.
    const MAX_KEYS: u32 = 512;
    /// Share of a server's mean load up to which a range counts as without load.
    const COLD_SHARE: f64 = 0.1;
    let mean = loads.weight.iter().sum::<f64>() / servers.len() as f64;
    let is_planned =
        |mark: &ServerIncarnation| servers.iter().any(|server| server.incarnation == *mark);
    let ranges = draft.record.ranges.clone();
    let mut joined = 0;
    let mut position = 1;
    while position < ranges.len() && joined < MAX_JOINS {
        let (left, range) = (&ranges[position - 1], &ranges[position]);
        let is_cold = weight_of(weights, range.first, range.last) <= mean * COLD_SHARE;
        let is_small = range.len() <= MAX_KEYS;
        let are_settled = left.is_settled() && range.is_settled();
        if is_cold && is_small && are_settled && left.owner != range.owner {
            if is_planned(&left.owner) && is_planned(&range.owner) {
                draft.assign(range.first, range.last, &left.owner, false);
                joined += 1;
            }
            // The next one is compared with a range that stays.
            position += 1;
        }
        position += 1;
    }
}

/// Runs of neighbouring ranges to make one, by their first keys: each range costs a renewal.
fn mergeable(record: &KeyRecord) -> Vec<u16> {
    /// Most runs made one at once.
    const MAX_MERGES: usize = 8;
    let mut firsts = Vec::new();
    let mut start = 0;
    while start < record.ranges.len() && firsts.len() < MAX_MERGES {
        let length = KeyRecord::run_length(&record.ranges[start..]);
        if length > 1 {
            firsts.push(record.ranges[start].first);
        }
        start += length.max(1);
    }
    firsts
}
