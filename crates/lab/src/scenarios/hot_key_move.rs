//! The key that gets a tenth of the lookups changes.

use crate::prelude::*;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("hot-key-move")
        .load(0, 70.0)
        .hot_key()
        .hot_key_moves(4_000)
        .lasting(9_500)
}
