//! How full the servers of a service usually are, by their reports.

use crate::prelude::*;

/// Mean of the requests of other instances for each slot, over the reports of the last moments.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalOccupancy {
    mean: f64,
    at: MonoTime,
}

impl TypicalOccupancy {
    /// Time in which what was reported loses half of its weight against a new report, in seconds.
    const HALF_LIFE: f64 = 0.3;
    /// Least weight of one report, for services with many.
    const LEAST_WEIGHT: f64 = 0.05;

    /// Takes in what a server reported.
    pub fn record_report(&mut self, fill: f64, now: MonoTime) {
        let age = now.since(self.at).as_secs_f64();
        let weight = (1.0 - 0.5_f64.powf(age / Self::HALF_LIFE)).max(Self::LEAST_WEIGHT);
        self.mean += (fill - self.mean) * weight;
        self.at = now;
    }

    /// The mean, for each slot.
    pub fn mean(&self) -> f64 {
        self.mean
    }
}
