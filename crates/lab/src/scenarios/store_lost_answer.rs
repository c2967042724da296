//! Writes take effect but are not answered, while a leader and a server are killed.

use crate::prelude::*;
use FaultEvent::{KillInstance, KillServer, SetStoreFault};
use InstanceChoice::LeaderOf;

/// Defines the scenario `store-lost-answer`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("store-lost-answer")
        .at(3_000, SetStoreFault(StoreFault::LostAnswers))
        .at(3_200, KillInstance(LeaderOf("viewing")))
        .at(4_500, KillServer("filing-1"))
        .at(6_000, SetStoreFault(StoreFault::None))
}
