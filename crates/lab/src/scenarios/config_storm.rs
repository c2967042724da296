//! The preset changes every second.

use crate::prelude::*;
use FaultEvent::SwitchPreset;

/// Defines the scenario `config-storm`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("config-storm")
        .at(2_500, SwitchPreset("peak"))
        .at(3_500, SwitchPreset("ordinary"))
        .at(4_500, SwitchPreset("maintenance"))
        .at(5_500, SwitchPreset("peak"))
        .at(6_500, SwitchPreset("ordinary"))
        .lasting(8_000)
}
