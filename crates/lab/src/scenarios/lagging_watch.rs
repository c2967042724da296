//! Watches lag by a second and a half while the preset changes.

use crate::prelude::*;
use FaultEvent::{UsePreset, WatchLag};

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("lagging-watch")
        .at(2_200, WatchLag(1_500))
        .at(3_000, UsePreset("peak"))
        .at(5_000, UsePreset("ordinary"))
        .lasting(8_000)
}
