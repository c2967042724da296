//! Load of a part.

use crate::prelude::*;

/// Smoothed load of each slice and the hottest keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Slots busy on average, by the slice's first hash.
    pub slices: IndexMap<u64, f64>,
    /// Hottest keys first.
    pub hot_keys: Vec<HotKey>,
    /// Requests on which the loads rest.
    pub samples: f64,
}

impl LoadReport {
    /// Standard error of one server's load over its mean, when `servers` share the requests.
    pub fn relative_error(&self, servers: usize) -> f64 {
        (servers as f64 / self.samples.max(f64::MIN_POSITIVE)).sqrt()
    }

    /// Slots busy on average in the whole part.
    pub fn total(&self) -> f64 {
        self.slices.values().sum()
    }
}
