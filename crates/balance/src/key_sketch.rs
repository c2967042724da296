//! A sketch of the most frequent keys in bounded memory, after Misra and Gries.
//!
//! With room for `k` keys, a key's share is underestimated by at most `1 / (k + 1)`, and every key
//! with a larger share is present. A request for a key without room decrements all counts; each
//! decrement is paid for by an earlier increment, so the amortised cost of a request is constant.

use crate::prelude::*;

/// Counts of the most frequent keys, halved at each decay.
#[derive(Clone, Debug)]
pub struct KeySketch {
    counts: IndexMap<KeyHash, u64>,
    capacity: usize,
    total: u64,
}

impl KeySketch {
    /// Sketch with room for `capacity` keys.
    pub fn new(capacity: usize) -> Self {
        Self {
            counts: IndexMap::with_capacity(capacity),
            capacity,
            total: 0,
        }
    }

    /// Counts one request for the key `hash`.
    pub fn count(&mut self, hash: KeyHash) {
        self.total += 1;
        if let Some(count) = self.counts.get_mut(&hash) {
            *count += 1;
        } else if self.counts.len() < self.capacity {
            self.counts.insert(hash, 1);
        } else {
            self.decrement_all();
        }
    }

    /// Halves all counts, so that recent requests have more weight.
    pub fn decay(&mut self) {
        self.total /= 2;
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }

    /// Keys with at least `share` of the requests, the most frequent first.
    pub fn hot_keys(&self, share: f64) -> Vec<HotKey> {
        let total = self.total.max(1) as f64;
        let mut keys: Vec<HotKey> = self
            .counts
            .iter()
            .map(|(hash, count)| HotKey {
                hash: *hash,
                share: *count as f64 / total,
            })
            .filter(|key| key.share >= share)
            .collect();
        keys.sort_by(|left, right| {
            right
                .share
                .total_cmp(&left.share)
                .then(left.hash.cmp(&right.hash))
        });
        keys
    }

    /// Number of keys in the sketch.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether the sketch contains no key.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn decrement_all(&mut self) {
        self.counts.retain(|_, count| {
            *count -= 1;
            *count > 0
        });
    }
}
