//! Seventy percent of the paid slots are busy, and nothing fails.

use crate::prelude::*;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("steady").load(0, 70.0).lasting(9_000)
}
