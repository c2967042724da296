//! A leader is paused, and replaced, before a freeze of a server that checks no fences.

use crate::prelude::*;
use FaultEvent::{FreezeServer, PauseInstance, ResumeInstance, ThawServer};
use InstanceChoice::{Last, LeaderOf};

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("unchecked-server")
        .at(3_000, PauseInstance(LeaderOf("viewing")))
        .at(3_300, FreezeServer("viewing-1"))
        .at(4_500, ThawServer("viewing-1"))
        .at(5_000, ResumeInstance(Last))
}
