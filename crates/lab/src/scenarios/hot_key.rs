//! One key gets a tenth of the lookups.

use crate::prelude::*;

/// Defines the scenario `hot-key`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("hot-key")
        .load(0, 70.0)
        .hot_key()
        .lasting(9_000)
}
