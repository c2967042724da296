//! Typical occupancy of a service's servers, from their reports.

use crate::prelude::*;

/// Moving average of the requests of other instances per slot, over recent reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalOccupancy {
    mean: f64,
    updated_at: MonoTime,
}

impl TypicalOccupancy {
    /// Time in which earlier reports lose half of their weight against a new one, in seconds.
    const HALF_LIFE_S: f64 = 0.3;
    /// Lowest weight of a new report, for services with frequent reports.
    const MIN_WEIGHT: f64 = 0.05;

    /// Adds the occupancy that a server reported.
    pub fn record_report(&mut self, occupancy: f64, now: MonoTime) {
        let age = now.since(self.updated_at).as_secs_f64();
        let weight = (1.0 - 0.5_f64.powf(age / Self::HALF_LIFE_S)).max(Self::MIN_WEIGHT);
        self.mean += (occupancy - self.mean) * weight;
        self.updated_at = now;
    }

    /// Mean number of requests of other instances per slot.
    pub fn mean(&self) -> f64 {
        self.mean
    }
}
