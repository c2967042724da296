//! Writes take effect without an answer, while a leader and a server are lost.

use crate::prelude::*;
use FaultEvent::{KillInstance, KillServer, Store};
use InstanceChoice::LeaderOf;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("store-lost-answer")
        .at(3_000, Store(StoreFault::LostAnswers))
        .at(3_200, KillInstance(LeaderOf("viewing")))
        .at(4_500, KillServer("filing-1"))
        .at(6_000, Store(StoreFault::None))
}
