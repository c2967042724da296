//! Plans which key ranges move to which server.
//!
//! Keys of servers that leave are spread over the others. For balance, the server with the highest
//! load for its capacity gives its densest span of keys to a server with room, so that a hot span
//! is split while few keys move.

use crate::{
    key_span::{KeySpan, by_load, densest_span, total_weight},
    prelude::*,
    range_tidying::{mergeable_runs, reassign_cold_ranges},
    server_loads::ServerLoads,
};
use indexmap::IndexSet;

/// Limits and thresholds for planning the moves of one service's keys.
#[derive(Clone, Copy, Debug)]
pub struct KeyPlanner {
    /// Load, as a multiple of the mean, above which a server gives keys away.
    pub overload_ratio: f64,
    /// Load, as a multiple of the mean, below which a server receives keys although no other server
    /// is overloaded.
    pub idle_ratio: f64,
    /// Smallest difference of a server's load from the mean that does not count as noise, in
    /// requests of the window.
    pub min_excess: f64,
    /// Number of moves for balance in one plan that is allowed in any service.
    pub min_moves: usize,
    /// Number of ranges beyond one per server that is allowed in any service. Above it small ranges
    /// without load move to the owner of a neighbour, and adjacent ranges of one owner are merged.
    pub min_spare_ranges: usize,
    /// The same per server of the service.
    pub spare_ranges_per_server: usize,
}

/// Planned change of a key record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyPlan {
    /// First distribution of all keys.
    Initial(KeyRecord),
    /// Moves and merges of ranges.
    Change(RecordDelta),
}

impl KeyPlan {
    /// Returns the record after the planned change.
    pub fn apply(&self, record: &KeyRecord) -> KeyRecord {
        match self {
            Self::Initial(distributed) => distributed.clone(),
            Self::Change(delta) => delta.apply(record),
        }
    }
}

/// Record with the moves that have been planned so far.
pub(crate) struct PlanDraft {
    pub(crate) record: KeyRecord,
    moves: Vec<RangeMove>,
}

impl PlanDraft {
    pub(crate) fn assign(
        &mut self,
        first: u16,
        last: u16,
        owner: &ServerIncarnation,
        released: bool,
    ) {
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
            min_moves: 6,
            // Each costs the leader a renewal per interval: these 364 a second.
            min_spare_ranges: 200,
            spare_ranges_per_server: 1,
        }
    }
}

/// Highest number of moves in one plan. A heartbeat tells all instances of so many, beside as many that
/// have been settled; more are read by all of them from the leader, one after the other.
const MAX_MOVES: usize = 45;

impl KeyPlanner {
    /// Number of moves for balance in one plan: one for each fair share of load that servers have too
    /// much, as long as all instances can be told of them at once.
    fn max_moves(&self, loads: &ServerLoads, servers: &[PlannedServer]) -> usize {
        let excess_shares = loads.excess_shares(servers, self.overload_ratio);
        (excess_shares as usize).clamp(self.min_moves, MAX_MOVES)
    }

    fn spare_ranges(&self, servers: usize) -> usize {
        let spare = servers * self.spare_ranges_per_server;
        spare.max(self.min_spare_ranges)
    }

    /// Number of ranges above which they are tidied.
    fn tidy_threshold(&self, servers: usize) -> usize {
        servers + self.spare_ranges(servers)
    }

    /// Number of ranges from which on no keys move for balance; those of servers that leave still
    /// do.
    fn max_ranges(&self, servers: usize) -> usize {
        /// Ranges that plans for balance may add before they are tidied, in any service.
        const MIN_HEADROOM: usize = 200;
        self.tidy_threshold(servers) + MIN_HEADROOM.max(servers)
    }

    /// Returns the change that is due, `None` if there is none.
    ///
    /// `servers` are those that may own keys, `weights` the requests of the window by key.
    /// `has_no_grant` tells whether a server cannot hold keys under a fence any more.
    pub fn plan(
        &self,
        record: &KeyRecord,
        servers: &[PlannedServer],
        weights: &[(u16, f64)],
        has_no_grant: impl Fn(&ServerIncarnation, u64) -> bool,
    ) -> Option<KeyPlan> {
        if servers.is_empty() {
            return None;
        }
        if record.ranges.is_empty() {
            let mut distributed = record.clone();
            let shares: Vec<(ServerIncarnation, f64)> = servers
                .iter()
                .map(|server| (server.incarnation.clone(), server.capacity))
                .collect();
            distributed.distribute(&shares);
            return Some(KeyPlan::Initial(distributed));
        }
        let mut draft = PlanDraft {
            record: record.clone(),
            moves: Vec::new(),
        };
        let mut loads = ServerLoads::new(record, servers, weights);
        self.evacuate(&mut draft, servers, &mut loads, weights, has_no_grant);
        if draft.record.ranges.len() < self.max_ranges(servers.len()) {
            self.relieve(&mut draft, servers, &mut loads, weights);
            self.rebalance(&mut draft, servers, &mut loads, weights);
        }
        let mut merges = Vec::new();
        if record.ranges.len() > self.tidy_threshold(servers.len()) {
            reassign_cold_ranges(&mut draft, servers, &loads, weights);
            merges = mergeable_runs(&draft.record, servers.len());
        }
        let delta = RecordDelta {
            moves: draft.moves,
            merges,
            ..RecordDelta::default()
        };
        (!delta.is_empty()).then_some(KeyPlan::Change(delta))
    }

    /// Moves the ranges whose owners may no longer own keys, up to `MAX_MOVES`, those with the most load
    /// first; the next plan moves the others.
    fn evacuate(
        &self,
        draft: &mut PlanDraft,
        servers: &[PlannedServer],
        loads: &mut ServerLoads,
        weights: &[(u16, f64)],
        has_no_grant: impl Fn(&ServerIncarnation, u64) -> bool,
    ) {
        let planned: IndexSet<&ServerIncarnation> =
            servers.iter().map(|server| &server.incarnation).collect();
        let ranges = draft.record.ranges.iter();
        let leaving = ranges.filter(|range| !planned.contains(&range.owner));
        let leaving: Vec<KeyRange> = leaving.cloned().collect();
        for range in by_load(leaving, weights) {
            let is_owner_free = has_no_grant(&range.owner, range.fence);
            // A moving range whose new owner is gone may be held by two servers. It waits until
            // the new owner cannot hold it any more.
            if !range.is_settled() && !is_owner_free {
                continue;
            }
            let released = is_owner_free && range.is_settled();
            let pieces = loads.split_range(&range, servers, weights);
            if draft.moves.len() + pieces.len() > MAX_MOVES {
                return;
            }
            for (first, last) in pieces {
                let position = loads.least_loaded(servers);
                let weight = total_weight(weights, first, last);
                loads.add(position, weight, u32::from(last) - u32::from(first) + 1);
                draft.assign(first, last, &servers[position].incarnation, released);
            }
        }
    }

    /// Moves spans of keys away from servers that are loaded beyond the limits that they name.
    fn relieve(
        &self,
        draft: &mut PlanDraft,
        servers: &[PlannedServer],
        loads: &mut ServerLoads,
        weights: &[(u16, f64)],
    ) {
        let limited = (0..servers.len()).filter(|giver| servers[*giver].limit.is_some());
        for giver in limited {
            for _ in 0..self.min_moves {
                let Some(surplus) = servers[giver].surplus(loads.weight[giver]) else {
                    break;
                };
                let incarnation = &servers[giver].incarnation;
                let span = densest_span(&draft.record, incarnation, weights, surplus);
                let Some((receiver, span)) = span.and_then(|span| {
                    let receiver = loads.bearing_receiver(servers, giver, span.weight)?;
                    Some((receiver, span))
                }) else {
                    break;
                };
                let owner = &servers[receiver].incarnation;
                draft.assign(span.first, span.last, owner, false);
                loads.weight[giver] -= span.weight;
                loads.weight[receiver] += span.weight;
            }
        }
    }

    /// Moves spans of keys from the servers with the highest load for their capacity. Servers with
    /// a limit neither give nor receive any unless all have one.
    fn rebalance(
        &self,
        draft: &mut PlanDraft,
        servers: &[PlannedServer],
        loads: &mut ServerLoads,
        weights: &[(u16, f64)],
    ) {
        let mut is_stuck = loads.is_left_out.clone();
        let max_moves = self.max_moves(loads, servers);
        let mut moves = 0;
        while moves < max_moves && draft.moves.len() < MAX_MOVES {
            let Some(most_loaded) = loads.most_loaded(servers, &is_stuck) else {
                return;
            };
            let least_loaded = loads.least_loaded(servers);
            if !self.is_uneven(loads, servers, most_loaded, least_loaded) {
                return;
            }
            let wanted_load = loads.wanted_load(servers, most_loaded, least_loaded);
            let span = densest_span(
                &draft.record,
                &servers[most_loaded].incarnation,
                weights,
                wanted_load,
            );
            let best_receiver =
                |span: &KeySpan| loads.best_receiver(servers, most_loaded, span.weight);
            let chosen = span
                .map(|span| (best_receiver(&span), span))
                .filter(|(to, span)| loads.improves(servers, most_loaded, *to, span.weight));
            let Some((receiver, span)) = chosen else {
                // The load of this server is on too few keys to be split; try the next server.
                is_stuck[most_loaded] = true;
                continue;
            };
            draft.assign(span.first, span.last, &servers[receiver].incarnation, false);
            loads.weight[most_loaded] -= span.weight;
            loads.weight[receiver] += span.weight;
            moves += 1;
        }
    }

    /// Whether the loads of two servers differ enough from the mean to move keys.
    fn is_uneven(
        &self,
        loads: &ServerLoads,
        servers: &[PlannedServer],
        most_loaded: usize,
        least_loaded: usize,
    ) -> bool {
        let mean = loads.mean(servers);
        let fair_load = mean * servers[most_loaded].capacity;
        let deficit = mean * servers[least_loaded].capacity - loads.weight[least_loaded];
        let excess = loads.weight[most_loaded] - fair_load;
        let is_over = loads.weight[most_loaded] > self.overload_ratio * fair_load;
        let is_idle =
            loads.weight[least_loaded] < self.idle_ratio * mean * servers[least_loaded].capacity;
        most_loaded != least_loaded
            && excess > 0.0
            && deficit > 0.0
            && (is_over || is_idle)
            && excess.max(deficit) >= self.min_excess
    }
}
