//! Keys of recent requests, as all instances report them.

use crate::prelude::*;

/// Samples of the last moments; each stands for some requests.
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
    /// Samples kept.
    const MAX_SAMPLES: usize = 8_192;

    /// Window of `span`.
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            samples: VecDeque::new(),
        }
    }

    /// Takes in the keys of one report, which stand for `total` requests.
    pub fn add(&mut self, keys: &[u16], total: u32, now: MonoTime) {
        let weight = f64::from(total) / keys.len().max(1) as f64;
        let sample = |&key| KeySample {
            at: now,
            key,
            weight,
        };
        self.samples.extend(keys.iter().map(sample));
        let from = now.before(self.span);
        while self
            .samples
            .front()
            .is_some_and(|sample| sample.at < from || self.samples.len() > Self::MAX_SAMPLES)
        {
            self.samples.pop_front();
        }
    }

    /// Weights by key, in order of keys; a recent sample weighs more than one about to leave.
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
