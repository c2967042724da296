//! Leaders of the filings are killed, and callers repeat requests at other instances.

use crate::prelude::*;
use FaultEvent::KillInstance;
use InstanceChoice::LeaderOf;

/// Defines the scenario `repeat-after-instance-loss`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("repeat-after-instance-loss")
        .at(3_500, KillInstance(LeaderOf("filing")))
        .at(5_000, KillInstance(LeaderOf("filing")))
}
