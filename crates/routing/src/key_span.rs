//! Spans of neighbouring keys and the load on them.

use crate::prelude::*;

/// Neighbouring keys within one settled range, from `first` to `last`, and their load.
pub(crate) struct KeySpan {
    pub(crate) first: u16,
    pub(crate) last: u16,
    pub(crate) weight: f64,
}

/// Finds the span in an owner's settled ranges that carries most of the wanted load in the fewest
/// keys.
pub(crate) fn densest_span(
    record: &KeyRecord,
    owner: &ServerIncarnation,
    weights: &[(u16, f64)],
    wanted: f64,
) -> Option<KeySpan> {
    /// Highest load of a span, as a multiple of the wanted load.
    const MAX_OVERSHOOT: f64 = 1.3;
    /// Share of the wanted load above which a smaller span is preferred to a higher load.
    const SUFFICIENT_SHARE: f64 = 0.8;
    let mut best: Option<(f64, KeySpan)> = None;
    let owned = record
        .ranges
        .iter()
        .filter(|range| range.owner == *owner && range.is_settled());
    for range in owned {
        let keys = weights_in(weights, range.first, range.last);
        let mut start = 0;
        let mut sum = 0.0;
        for end in 0..keys.len() {
            sum += keys[end].1;
            while start < end
                && (sum > wanted * MAX_OVERSHOOT
                    || sum - keys[start].1 >= wanted * SUFFICIENT_SHARE)
            {
                sum -= keys[start].1;
                start += 1;
            }
            let key_share = f64::from(keys[end].0 - keys[start].0) / 65_536.0;
            let score = (sum / (wanted * SUFFICIENT_SHARE)).min(1.0) - key_share;
            if best
                .as_ref()
                .is_none_or(|(best_score, _)| score > *best_score)
            {
                let span = KeySpan {
                    first: keys[start].0,
                    last: keys[end].0,
                    weight: sum,
                };
                best = Some((score, span));
            }
        }
    }
    best.map(|(_, span)| span)
}

fn weights_in(weights: &[(u16, f64)], first: u16, last: u16) -> &[(u16, f64)] {
    let start = weights.partition_point(|(key, _)| *key < first);
    let end = weights.partition_point(|(key, _)| *key <= last);
    &weights[start..end]
}

/// Load of the keys from `first` to `last`.
pub(crate) fn total_weight(weights: &[(u16, f64)], first: u16, last: u16) -> f64 {
    weights_in(weights, first, last)
        .iter()
        .map(|(_, weight)| weight)
        .sum()
}

/// Ranges in the order of their load, the highest first. Those without requests can wait when there
/// are more than one plan can move.
pub(crate) fn by_load(mut ranges: Vec<KeyRange>, weights: &[(u16, f64)]) -> Vec<KeyRange> {
    let load = |range: &KeyRange| total_weight(weights, range.first, range.last);
    ranges.sort_by(|one, other| load(other).total_cmp(&load(one)));
    ranges
}
