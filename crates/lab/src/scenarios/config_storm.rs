//! The preset changes each second.

use crate::prelude::*;
use FaultEvent::UsePreset;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("config-storm")
        .at(2_500, UsePreset("peak"))
        .at(3_500, UsePreset("ordinary"))
        .at(4_500, UsePreset("maintenance"))
        .at(5_500, UsePreset("peak"))
        .at(6_500, UsePreset("ordinary"))
        .lasting(8_000)
}
