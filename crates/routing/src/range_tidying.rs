//! Keeps the number of ranges small: ranges without load are joined with their neighbours.

use crate::{
    key_planner::PlanDraft, key_span::total_weight, prelude::*, server_loads::ServerLoads,
};

/// Moves small ranges that carry almost no load to the owner of their left neighbour, so that the
/// two can be merged. Spans that were hot earlier leave such ranges behind.
pub(crate) fn reassign_cold_ranges(
    draft: &mut PlanDraft,
    servers: &[PlannedServer],
    loads: &ServerLoads,
    weights: &[(u16, f64)],
) {
    /// Highest number of ranges moved in one plan.
    const MAX_REASSIGNED: usize = 10;
    /// Highest number of keys of such a range.
    const MAX_KEYS: u32 = 512;
    /// Share of the servers' mean load up to which a range counts as without load.
    const COLD_LOAD_SHARE: f64 = 0.1;
    let mean = loads.weight.iter().sum::<f64>() / servers.len() as f64;
    let is_planned = |incarnation: &ServerIncarnation| {
        servers
            .iter()
            .any(|server| server.incarnation == *incarnation)
    };
    let ranges = draft.record.ranges.clone();
    let mut reassigned = 0;
    let mut position = 1;
    while position < ranges.len() && reassigned < MAX_REASSIGNED {
        let (left, range) = (&ranges[position - 1], &ranges[position]);
        let is_cold = total_weight(weights, range.first, range.last) <= mean * COLD_LOAD_SHARE;
        let is_small = range.len() <= MAX_KEYS;
        let are_settled = left.is_settled() && range.is_settled();
        if is_cold && is_small && are_settled && left.owner != range.owner {
            if is_planned(&left.owner) && is_planned(&range.owner) {
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
pub(crate) fn mergeable_runs(record: &KeyRecord) -> Vec<u16> {
    /// Highest number of runs merged in one plan.
    const MAX_MERGED_RUNS: usize = 8;
    let mut firsts = Vec::new();
    let mut start = 0;
    while start < record.ranges.len() && firsts.len() < MAX_MERGED_RUNS {
        let length = KeyRecord::run_length(&record.ranges[start..]);
        if length > 1 {
            firsts.push(record.ranges[start].first);
        }
        start += length.max(1);
    }
    firsts
}
