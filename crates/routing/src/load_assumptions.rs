//! What a request expects of the servers of its service.

/// What is taken for granted where a server has told nothing lately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadAssumptions {
    /// Requests of other instances that a server usually has, for each of its slots.
    pub typical_occupancy: f64,
    /// How long a request of this route runs, against the mean of its service.
    pub service_time_ratio: f64,
}

impl LoadAssumptions {
    /// The same, but for what servers usually have: that is good enough to choose by, and not to
    /// refuse by.
    pub fn reported_only(self) -> Self {
        Self {
            typical_occupancy: 0.0,
            ..self
        }
    }
}

impl Default for LoadAssumptions {
    fn default() -> Self {
        Self {
            typical_occupancy: 0.0,
            service_time_ratio: 1.0,
        }
    }
}
