//! One caller sends ten times as many requests as all others, beyond the licensed slots.

use crate::prelude::*;

/// Defines the scenario `one-greedy-caller`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("one-greedy-caller")
        .load(0, 150.0)
        .greedy()
}
