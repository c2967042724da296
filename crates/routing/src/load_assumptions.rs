//! Assumptions about the load of servers without a recent report.

/// Assumed load of servers without a recent report, and the relative length of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadAssumptions {
    /// Requests of other instances per slot that a server typically has.
    pub typical_occupancy: f64,
    /// Run time of a request of this route, as a multiple of the mean of its service.
    pub service_time_ratio: f64,
}

impl LoadAssumptions {
    /// Returns the same assumptions without the typical occupancy, which is precise enough for
    /// choosing among servers but not for refusing requests.
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
