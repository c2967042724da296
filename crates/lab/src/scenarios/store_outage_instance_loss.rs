//! A leader is lost while the store is down.

use crate::prelude::*;
use FaultEvent::{KillInstance, Store};
use InstanceChoice::LeaderOf;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("store-outage-instance-loss")
        .at(3_000, Store(StoreFault::Down))
        .at(3_500, KillInstance(LeaderOf("viewing")))
        .at(6_000, Store(StoreFault::None))
        .lasting(8_000)
}
