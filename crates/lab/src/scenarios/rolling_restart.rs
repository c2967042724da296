//! Each instance is stopped gracefully and started again.

use crate::prelude::*;
use FaultEvent::{StartInstance, StopInstance};
use InstanceChoice::{Last, Number};

/// The scenario.
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
