//! Two operators switch the preset concurrently, three times.

use crate::prelude::*;
use FaultEvent::RacePresets;

/// Defines the scenario `preset-race`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("preset-race")
        .at(2_500, RacePresets(["peak", "maintenance"]))
        .at(3_500, RacePresets(["ordinary", "peak"]))
        .at(4_500, RacePresets(["maintenance", "ordinary"]))
}
