//! The preset changes while watches lag by 1.5 s.

use crate::prelude::*;
use FaultEvent::{SetWatchLag, SwitchPreset};

/// Defines the scenario `lagging-watch`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("lagging-watch")
        .at(2_200, SetWatchLag(1_500))
        .at(3_000, SwitchPreset("peak"))
        .at(5_000, SwitchPreset("ordinary"))
        .lasting(8_000)
}
