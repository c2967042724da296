//! Instances are killed at the moment of a change.

use crate::prelude::*;
use FaultEvent::{KillInstance, SwitchPreset};
use InstanceChoice::Number;

/// Defines the scenario `watcher-loss`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("watcher-loss")
        .at(3_000, SwitchPreset("peak"))
        .at(3_000, KillInstance(Number(0)))
        .at(4_500, SwitchPreset("ordinary"))
        .at(4_500, KillInstance(Number(1)))
}
