//! A leader is killed while the store is down.

use crate::prelude::*;
use FaultEvent::{KillInstance, SetStoreFault};
use InstanceChoice::LeaderOf;

/// Defines the scenario `store-outage-instance-loss`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("store-outage-instance-loss")
        .at(3_000, SetStoreFault(StoreFault::Down))
        .at(3_500, KillInstance(LeaderOf("viewing")))
        .at(6_000, SetStoreFault(StoreFault::None))
        .lasting(8_000)
}
