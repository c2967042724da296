//! A bounded sketch of the most frequent keys.
//!
//! The counts follow Misra and Gries: with room for `k` keys, a key's share is underestimated by at
//! most `1 / (k + 1)`, and every key above that share is present. A count of a key that has no room
//! lowers all counts by one, which its predecessors have paid for: the cost is constant on average.

use crate::prelude::*;

/// Counts of the most frequent keys since the last decay.
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

    /// Counts one request for a key.
    pub fn count(&mut self, hash: KeyHash) {
        self.total += 1;
        if let Some(count) = self.counts.get_mut(&hash) {
            *count += 1;
        } else if self.counts.len() < self.capacity {
            self.counts.insert(hash, 1);
        } else {
            self.lower_all();
        }
    }

    /// Halves all counts, so that recent requests weigh more.
    pub fn decay(&mut self) {
        self.total /= 2;
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }

    /// Keys with at least `share` of the requests, the hottest first.
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

    /// Keys held.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn lower_all(&mut self) {
        self.counts.retain(|_, count| {
            *count -= 1;
            *count > 0
        });
    }
}
