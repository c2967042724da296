//! One caller asks ten times as much as all others, beyond the paid slots.

use crate::prelude::*;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("one-greedy-caller")
        .load(0, 150.0)
        .greedy()
}
