//! Instances are lost at the moment of a change.

use crate::prelude::*;
use FaultEvent::{KillInstance, UsePreset};
use InstanceChoice::Number;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("watcher-loss")
        .at(3_000, UsePreset("peak"))
        .at(3_000, KillInstance(Number(0)))
        .at(4_500, UsePreset("ordinary"))
        .at(4_500, KillInstance(Number(1)))
}
