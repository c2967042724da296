//! An instance restarts while watches still show the configuration before a change.

use crate::prelude::*;
use FaultEvent::{KillInstance, SetWatchLag, StartInstance, SwitchPreset};
use InstanceChoice::{Last, Number};

/// Defines the scenario `restart-on-old-copy`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("restart-on-old-copy")
        .at(2_500, SwitchPreset("peak"))
        .at(3_500, SetWatchLag(3_000))
        .at(3_500, KillInstance(Number(1)))
        .at(3_800, StartInstance(Last))
        .lasting(8_000)
}
