//! A leader is paused past its lease and goes on unaware.

use crate::prelude::*;
use FaultEvent::{PauseInstance, ResumeInstance};
use InstanceChoice::{Last, LeaderOf};

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("instance-pause")
        .at(3_500, PauseInstance(LeaderOf("viewing")))
        .at(5_500, ResumeInstance(Last))
}
