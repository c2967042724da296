//! The instance that leads the lookups is killed.

use crate::prelude::*;
use FaultEvent::KillInstance;
use InstanceChoice::LeaderOf;

/// Defines the scenario `instance-loss`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("instance-loss").at(3_500, KillInstance(LeaderOf("viewing")))
}
