//! Load of a part.

use crate::prelude::*;

/// Smoothed load of each slice and the hottest keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Slots busy on average, by the slice's first hash.
    pub slices: IndexMap<u64, f64>,
    /// Hottest keys first.
    pub hot_keys: Vec<HotKey>,
}

impl LoadReport {
    /// Slots busy on average in the whole part.
    pub fn total(&self) -> f64 {
        self.slices.values().sum()
    }
}
