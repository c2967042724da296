//! A leader is paused beyond its lease and resumes without knowing that it was replaced.

use crate::prelude::*;
use FaultEvent::{PauseInstance, ResumeInstance};
use InstanceChoice::{Last, LeaderOf};

/// Defines the scenario `instance-pause`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("instance-pause")
        .at(3_500, PauseInstance(LeaderOf("viewing")))
        .at(5_500, ResumeInstance(Last))
}
