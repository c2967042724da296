//! An instance starts anew while watches still show the configuration before a change.

use crate::prelude::*;
use FaultEvent::{KillInstance, StartInstance, UsePreset, WatchLag};
use InstanceChoice::{Last, Number};

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("restart-on-old-copy")
        .at(2_500, UsePreset("peak"))
        .at(3_500, WatchLag(3_000))
        .at(3_500, KillInstance(Number(1)))
        .at(3_800, StartInstance(Last))
        .lasting(8_000)
}
