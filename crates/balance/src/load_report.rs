//! The measured load of a part.

use crate::prelude::*;

/// Smoothed load of each slice, and the most frequent keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Mean number of busy slots of each slice, by its first hash.
    pub slices: IndexMap<u64, f64>,
    /// Frequent keys, the most frequent first.
    pub hot_keys: Vec<HotKey>,
    /// Number of requests that the smoothed loads are computed from.
    pub samples: f64,
}

impl LoadReport {
    /// Standard error of one server's load, relative to that load, when `servers` share the
    /// requests.
    pub fn relative_error(&self, servers: usize) -> f64 {
        (servers as f64 / self.samples.max(f64::MIN_POSITIVE)).sqrt()
    }

    /// Mean number of busy slots of the whole part.
    pub fn total(&self) -> f64 {
        self.slices.values().sum()
    }
}
