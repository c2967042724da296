//! Measurement of the load of each slice of a part.

use crate::prelude::*;

/// Meter of the busy slot time of each slice of one part, and of its most frequent keys.
#[derive(Clone, Debug)]
pub struct LoadMeter {
    window_busy: IndexMap<u64, Duration>,
    smoothed: IndexMap<u64, f64>,
    sketch: KeySketch,
    window_start: MonoTime,
    closed_windows: u32,
    window_requests: u64,
    samples: f64,
}

impl LoadMeter {
    /// Number of keys for which the sketch has room.
    const SKETCH_CAPACITY: usize = 512;
    /// Smallest share of the requests with which a key is reported.
    const MIN_HOT_KEY_SHARE: f64 = 0.004;
    /// Weight of the latest window in the smoothed load.
    const LATEST_WEIGHT: f64 = 0.3;
    /// Share of the sample count that is kept when a window closes, so that the count matches the
    /// number of requests that the smoothed load averages over.
    const SAMPLE_DECAY: f64 = 1.0 - Self::LATEST_WEIGHT / (2.0 - Self::LATEST_WEIGHT);
    /// Number of closed windows before the load is used for planning.
    const MIN_WINDOWS: u32 = 2;

    /// Meter whose first window opens at `now`.
    pub fn new(now: MonoTime) -> Self {
        Self {
            window_busy: IndexMap::new(),
            smoothed: IndexMap::new(),
            sketch: KeySketch::new(Self::SKETCH_CAPACITY),
            window_start: now,
            closed_windows: 0,
            window_requests: 0,
            samples: 0.0,
        }
    }

    /// Whether enough windows have closed to tell the load from noise.
    pub fn is_settled(&self) -> bool {
        self.closed_windows >= Self::MIN_WINDOWS
    }

    /// Records a request for the key `hash` that occupied a slot for `busy`.
    pub fn record(&mut self, slice_start: u64, hash: KeyHash, busy: Duration) {
        *self.window_busy.entry(slice_start).or_default() += busy;
        self.sketch.count(hash);
        self.window_requests += 1;
    }

    /// Closes the current window and reports the load of the slices in `record`.
    ///
    /// Load measured for a slice that has since been split or merged counts for the slice that now
    /// contains its start.
    pub fn close_window(&mut self, record: &PartRecord, now: MonoTime) -> LoadReport {
        let span = now.since(self.window_start).as_secs_f64().max(0.001);
        self.window_start = now;
        self.closed_windows = self.closed_windows.saturating_add(1);
        self.samples = self.samples * Self::SAMPLE_DECAY + self.window_requests as f64;
        self.window_requests = 0;
        let mut latest: IndexMap<u64, f64> = IndexMap::new();
        for (start, busy) in self.window_busy.drain(..) {
            if let Some(entry) = record.slice_of(KeyHash(start)) {
                *latest.entry(entry.start).or_default() += busy.as_secs_f64() / span;
            }
        }
        self.smoothed = record
            .slices
            .iter()
            .map(|entry| {
                let current = latest.get(&entry.start).copied().unwrap_or(0.0);
                let previous = self.smoothed.get(&entry.start).copied().unwrap_or(current);
                (
                    entry.start,
                    previous + Self::LATEST_WEIGHT * (current - previous),
                )
            })
            .collect();
        let hot_keys = self.sketch.hot_keys(Self::MIN_HOT_KEY_SHARE);
        self.sketch.decay();
        LoadReport {
            samples: self.samples,
            slices: self.smoothed.clone(),
            hot_keys,
        }
    }
}
