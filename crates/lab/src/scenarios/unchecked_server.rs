//! A leader is paused and replaced; then a server that does not check fences freezes.

use crate::prelude::*;
use FaultEvent::{FreezeServer, PauseInstance, ResumeInstance, UnfreezeServer};
use InstanceChoice::{Last, LeaderOf};

/// Defines the scenario `unchecked-server`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("unchecked-server")
        .at(3_000, PauseInstance(LeaderOf("viewing")))
        .at(3_300, FreezeServer("viewing-1"))
        .at(4_500, UnfreezeServer("viewing-1"))
        .at(5_000, ResumeInstance(Last))
}
