//! A server is killed while the store is down.

use crate::prelude::*;
use FaultEvent::{KillServer, SetStoreFault};

/// Defines the scenario `store-outage-server-loss`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("store-outage-server-loss")
        .at(3_000, SetStoreFault(StoreFault::Down))
        .at(3_500, KillServer("viewing-1"))
        .at(6_000, SetStoreFault(StoreFault::None))
        .lasting(8_000)
}
