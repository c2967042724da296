//! Metering of a part's load by slice.

use crate::prelude::*;

/// Busy slot time and keys of one part.
#[derive(Clone, Debug)]
pub struct LoadMeter {
    window: IndexMap<u64, Duration>,
    smoothed: IndexMap<u64, f64>,
    sketch: KeySketch,
    opened: MonoTime,
    windows: u32,
    requests: u64,
    samples: f64,
}

impl LoadMeter {
    /// Keys that the sketch holds.
    const SKETCH_KEYS: usize = 512;
    /// Least share of a key that is reported.
    const LEAST_SHARE: f64 = 0.004;
    /// Weight of the latest window in the smoothed load.
    const WEIGHT: f64 = 0.3;
    /// Share of the earlier samples that a closed window keeps, so that as many are counted as the
    /// smoothing averages over.
    const KEPT_SAMPLES: f64 = 1.0 - Self::WEIGHT / (2.0 - Self::WEIGHT);
    /// Windows that must close before the load is acted on.
    const LEAST_WINDOWS: u32 = 2;

    /// Meter whose first window opens at `now`.
    pub fn new(now: MonoTime) -> Self {
        Self {
            window: IndexMap::new(),
            smoothed: IndexMap::new(),
            sketch: KeySketch::new(Self::SKETCH_KEYS),
            opened: now,
            windows: 0,
            requests: 0,
            samples: 0.0,
        }
    }

    /// Whether enough windows have closed for the load to be told from noise.
    pub fn is_settled(&self) -> bool {
        self.windows >= Self::LEAST_WINDOWS
    }

    /// Notes a request that held a slot for `busy`.
    pub fn record(&mut self, slice_start: u64, hash: KeyHash, busy: Duration) {
        *self.window.entry(slice_start).or_default() += busy;
        self.sketch.count(hash);
        self.requests += 1;
    }

    /// Closes the window and reports the load of `record`'s slices.
    ///
    /// Load metered under a slice that has been split or joined since counts for the slice that now
    /// holds its start.
    pub fn close_window(&mut self, record: &PartRecord, now: MonoTime) -> LoadReport {
        let span = now.since(self.opened).as_secs_f64().max(0.001);
        self.opened = now;
        self.windows = self.windows.saturating_add(1);
        self.samples = self.samples * Self::KEPT_SAMPLES + self.requests as f64;
        self.requests = 0;
        let mut latest: IndexMap<u64, f64> = IndexMap::new();
        for (start, busy) in self.window.drain(..) {
            if let Some(entry) = record.slice_of(KeyHash(start)) {
                *latest.entry(entry.start).or_default() += busy.as_secs_f64() / span;
            }
        }
        self.smoothed = record
            .slices
            .iter()
            .map(|entry| {
                let seen = latest.get(&entry.start).copied().unwrap_or(0.0);
                let before = self.smoothed.get(&entry.start).copied().unwrap_or(seen);
                (entry.start, before + Self::WEIGHT * (seen - before))
            })
            .collect();
        let hot_keys = self.sketch.hot_keys(Self::LEAST_SHARE);
        self.sketch.decay();
        LoadReport {
            samples: self.samples,
            slices: self.smoothed.clone(),
            hot_keys,
        }
    }
}
