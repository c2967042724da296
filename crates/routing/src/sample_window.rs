//! Sliding window of the keys of recent requests, as reported by all instances.

use crate::prelude::*;

/// Key samples of the last `span`; each sample represents a number of requests.
#[derive(Clone, Debug)]
pub struct SampleWindow {
    span: Duration,
    samples: VecDeque<KeySample>,
}

#[derive(Clone, Copy, Debug)]
struct KeySample {
    at: MonoTime,
    key: u16,
    weight: f64,
}

impl SampleWindow {
    /// Highest number of samples kept.
    const MAX_SAMPLES: usize = 8_192;

    /// Creates an empty window of length `span`.
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            samples: VecDeque::new(),
        }
    }

    /// Time in seconds in which as many requests come as the weights of a window of length `span`
    /// add up to.
    pub fn effective_seconds(span: Duration) -> f64 {
        // The mean weight of a request is a half.
        span.as_secs_f64() / 2.0
    }

    /// Adds the keys of one report, which together represent `total` requests.
    pub fn add(&mut self, keys: &[u16], total: u32, now: MonoTime) {
        let weight = f64::from(total) / keys.len().max(1) as f64;
        let sample = |&key| KeySample {
            at: now,
            key,
            weight,
        };
        self.samples.extend(keys.iter().map(sample));
        let window_start = now.before(self.span);
        while self.samples.front().is_some_and(|sample| {
            sample.at < window_start || self.samples.len() > Self::MAX_SAMPLES
        }) {
            self.samples.pop_front();
        }
    }

    /// Returns the number of requests by key, in ascending order of keys. The weight of a sample
    /// decreases linearly with its age.
    pub fn weights(&self, now: MonoTime) -> Vec<(u16, f64)> {
        let span = self.span.as_secs_f64();
        let mut weights: Vec<(u16, f64)> = self
            .samples
            .iter()
            .filter_map(|sample| {
                let age = now.since(sample.at).as_secs_f64();
                let share = 1.0 - age / span;
                (share > 0.0).then_some((sample.key, sample.weight * share))
            })
            .collect();
        weights.sort_by_key(|(key, _)| *key);
        weights.dedup_by(|next, kept| {
            let same = next.0 == kept.0;
            if same {
                kept.1 += next.1;
            }
            same
        });
        weights
    }
}
