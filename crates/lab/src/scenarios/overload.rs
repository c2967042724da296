//! The load rises from 70 to 100 and 150 percent of the licensed slots.

use crate::prelude::*;

/// Defines the scenario `overload`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("overload")
        .load(0, 70.0)
        .load(3_000, 100.0)
        .load(6_000, 150.0)
        .lasting(9_000)
}
