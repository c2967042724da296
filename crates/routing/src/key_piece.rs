//! Stretches of keys and the requests that they carry.

use crate::prelude::*;

/// A stretch of keys within one settled range.
pub(crate) struct KeyPiece {
    pub(crate) first: u16,
    pub(crate) last: u16,
    pub(crate) weight: f64,
}

/// Stretch of an owner's settled ranges that carries most of what is wanted in fewest keys.
pub(crate) fn densest(
    record: &KeyRecord,
    owner: &ServerIncarnation,
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

/// Requests for the keys from `first` to `last`.
pub(crate) fn weight_of(weights: &[(u16, f64)], first: u16, last: u16) -> f64 {
    slice_of(weights, first, last)
        .iter()
        .map(|(_, weight)| weight)
        .sum()
}
