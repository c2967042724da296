//! Thresholds and limits of the planner of slice changes.

use crate::prelude::*;

/// Loads at which slices are moved, split and merged, and how many changes are made at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalanceLimits {
    /// Utilisation of the busiest server, divided by the mean, above which slices start to move.
    pub trigger_ratio: f64,
    /// Utilisation of the busiest server, divided by the mean, at which slices stop moving.
    pub target_ratio: f64,
    /// Number of standard errors of a server's measured load by which the trigger is raised; the
    /// target is raised by half as much.
    pub noise_sigmas: f64,
    /// Utilisation of a server from which the thresholds are not raised for noise.
    pub urgent_utilisation: f64,
    /// Smallest reduction of the highest utilisation by a move, divided by the mean utilisation.
    pub min_gain: f64,
    /// Load of a key, divided by the mean load of a server, from which the key gets its own slice.
    pub hot_key_ratio: f64,
    /// Load of two adjacent slices, divided by the mean load of a server, up to which they are
    /// merged.
    pub cold_ratio: f64,
    /// Utilisation added to servers outside the leader's data centre when a target is chosen,
    /// divided by the mean utilisation.
    pub remote_penalty: f64,
    /// Largest number of moves in one plan.
    pub max_moves: usize,
    /// Largest number of splits in one plan.
    pub max_splits: usize,
    /// Slices per server above which cold adjacent slices are merged.
    pub max_slices_per_server: usize,
    /// Time after a move in which the slice is not moved again.
    pub move_cooldown: Duration,
}

impl Default for BalanceLimits {
    fn default() -> Self {
        Self {
            trigger_ratio: 1.15,
            target_ratio: 1.08,
            noise_sigmas: 3.0,
            urgent_utilisation: 0.85,
            min_gain: 0.05,
            hot_key_ratio: 0.15,
            cold_ratio: 0.05,
            remote_penalty: 0.02,
            max_moves: 4,
            max_splits: 8,
            max_slices_per_server: 16,
            move_cooldown: Duration::from_secs(5),
        }
    }
}
