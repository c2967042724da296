//! Loss of the instance that leads the lookups.

use crate::prelude::*;
use FaultEvent::KillInstance;
use InstanceChoice::LeaderOf;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("instance-loss").at(3_500, KillInstance(LeaderOf("viewing")))
}
