//! A leader of filings is lost, and callers repeat at other instances.

use crate::prelude::*;
use FaultEvent::KillInstance;
use InstanceChoice::LeaderOf;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("repeat-after-instance-loss")
        .at(3_500, KillInstance(LeaderOf("filing")))
        .at(5_000, KillInstance(LeaderOf("filing")))
}
