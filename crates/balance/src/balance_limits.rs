//! Bounds on what the planner proposes.

use crate::prelude::*;

/// When slices are moved, split and joined, and how many at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalanceLimits {
    /// Utilisation of the busiest server over the mean from which slices start to move.
    pub trigger: f64,
    /// Utilisation of the busiest server over the mean at which slices cease to move.
    pub target: f64,
    /// Standard errors of a server's metered load by which both thresholds are raised.
    pub noise_sigmas: f64,
    /// Utilisation of a server's slots from which noise no longer holds moves back.
    pub urgent: f64,
    /// Least reduction of the busiest server's utilisation that a move must bring, over the mean.
    pub least_gain: f64,
    /// Load of a key over a server's mean load from which the key is set apart.
    pub hot_key_share: f64,
    /// Load of two neighbours over a server's mean load up to which they are joined.
    pub cold_share: f64,
    /// Advantage of servers in the leader's data centre, over the mean utilisation.
    pub near_bonus: f64,
    /// Moves proposed at a time.
    pub max_moves: usize,
    /// Splits proposed at a time.
    pub max_splits: usize,
    /// Slices per server above which cold neighbours are joined.
    pub max_slices_per_server: usize,
    /// Time for which a slice stays where it was moved to.
    pub rest: Duration,
}

impl Default for BalanceLimits {
    fn default() -> Self {
        Self {
            trigger: 1.15,
            target: 1.08,
            noise_sigmas: 3.0,
            urgent: 0.85,
            least_gain: 0.05,
            hot_key_share: 0.15,
            cold_share: 0.05,
            near_bonus: 0.02,
            max_moves: 4,
            max_splits: 8,
            max_slices_per_server: 16,
            rest: Duration::from_secs(5),
        }
    }
}
