//! The load is 70 percent of the licensed slots, and nothing fails.

use crate::prelude::*;

/// Defines the scenario `steady`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("steady").load(0, 70.0).lasting(9_000)
}
