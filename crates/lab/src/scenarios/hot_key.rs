//! One key gets a tenth of the lookups.

use crate::prelude::*;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("hot-key")
        .load(0, 70.0)
        .hot_key()
        .lasting(9_000)
}
