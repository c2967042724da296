//! One key gets a tenth of the lookups, then another key does.

use crate::prelude::*;

/// Defines the scenario `hot-key-move`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("hot-key-move")
        .load(0, 70.0)
        .hot_key()
        .hot_key_moves(4_000)
        .lasting(9_500)
}
