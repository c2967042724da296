//! Keeps the number of ranges small: ranges without load are joined with their neighbours.

use crate::{
    key_planner::PlanDraft, key_span::total_weight, prelude::*, server_loads::ServerLoads,
};

/// Highest number of ranges moved, and of runs merged, in one plan of a service with few servers.
const MIN_CHANGES: usize = 10;
/// Number of servers that raises both by one: the more there are, the more ranges a plan for balance
/// leaves behind.
const SERVERS_PER_CHANGE: usize = 10;

/// Moves small ranges that carry almost no load to the owner of their left neighbour, so that the
/// two can be merged. Spans that were hot earlier leave such ranges behind. Each owner keeps a range.
pub(crate) fn reassign_cold_ranges(
    draft: &mut PlanDraft,
    servers: &[PlannedServer],
    loads: &ServerLoads,
    weights: &[(u16, f64)],
) {
    /// Highest number of keys of such a range.
    const MAX_KEYS: u32 = 512;
    /// The same as a part of a server's fair share of all keys.
    const FAIR_SHARE_PART: u32 = 4;
    /// Share of the servers' mean load up to which a range counts as without load.
    const COLD_LOAD_SHARE: f64 = 0.1;
    let max_keys = (65_536 / servers.len() as u32 / FAIR_SHARE_PART).clamp(1, MAX_KEYS);
    let max_reassigned = MIN_CHANGES.max(servers.len() / SERVERS_PER_CHANGE);
    let mean = loads.weight.iter().sum::<f64>() / servers.len() as f64;
    let planned = servers.iter().map(|server| (&server.incarnation, 0));
    let mut owned: IndexMap<&ServerIncarnation, usize> = planned.collect();
    let ranges = draft.record.ranges.clone();
    for range in &ranges {
        if let Some(count) = owned.get_mut(&range.owner) {
            *count += 1;
        }
    }
    let mut reassigned = 0;
    let mut position = 1;
    while position < ranges.len() && reassigned < max_reassigned {
        let (left, range) = (&ranges[position - 1], &ranges[position]);
        let is_cold = total_weight(weights, range.first, range.last) <= mean * COLD_LOAD_SHARE;
        let is_small = range.len() <= max_keys;
        let are_settled = left.is_settled() && range.is_settled();
        let has_others = owned.get(&range.owner).is_some_and(|count| *count > 1);
        if is_cold && is_small && are_settled && has_others && left.owner != range.owner {
            if let Some(count) = owned.get_mut(&left.owner) {
                *count += 1;
                owned[&range.owner] -= 1;
                draft.assign(range.first, range.last, &left.owner, false);
                reassigned += 1;
            }
            // Compare the next range with one that is not moved.
            position += 1;
        }
        position += 1;
    }
}

/// Returns the first keys of runs of adjacent ranges to merge, since each range costs a renewal.
pub(crate) fn mergeable_runs(record: &KeyRecord, servers: usize) -> Vec<u16> {
    let max_runs = MIN_CHANGES.max(servers / SERVERS_PER_CHANGE);
    let mut firsts = Vec::new();
    let mut start = 0;
    while start < record.ranges.len() && firsts.len() < max_runs {
        let length = KeyRecord::run_length(&record.ranges[start..]);
        if length > 1 {
            firsts.push(record.ranges[start].first);
        }
        start += length.max(1);
    }
    firsts
}
