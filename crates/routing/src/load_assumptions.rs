//! What a request expects of the servers of its service.

/// What is taken for granted where a server has told nothing lately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadAssumptions {
    /// Requests of other instances that a server usually has, for each of its slots.
    pub usual_fill: f64,
    /// How long a request of this route runs, against the mean of its service.
    pub run_ratio: f64,
}

impl LoadAssumptions {
    /// The same, but for what servers usually have: that is good enough to choose by, and not to
    /// refuse by.
    pub fn reported_only(self) -> Self {
        Self {
            usual_fill: 0.0,
            ..self
        }
    }
}

impl Default for LoadAssumptions {
    fn default() -> Self {
        Self {
            usual_fill: 0.0,
            run_ratio: 1.0,
        }
    }
}
