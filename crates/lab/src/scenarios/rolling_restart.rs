//! Three instances are stopped gracefully and restarted, one after the other.

use crate::prelude::*;
use FaultEvent::{StartInstance, StopInstance};
use InstanceChoice::{Last, Number};

/// Defines the scenario `rolling-restart`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("rolling-restart")
        .at(2_500, StopInstance(Number(0)))
        .at(4_000, StartInstance(Last))
        .at(4_500, StopInstance(Number(1)))
        .at(6_000, StartInstance(Last))
        .at(6_500, StopInstance(Number(2)))
        .at(8_000, StartInstance(Last))
        .lasting(8_500)
}
