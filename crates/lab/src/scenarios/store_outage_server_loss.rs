//! A server is lost while the store is down.

use crate::prelude::*;
use FaultEvent::{KillServer, Store};

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("store-outage-server-loss")
        .at(3_000, Store(StoreFault::Down))
        .at(3_500, KillServer("viewing-1"))
        .at(6_000, Store(StoreFault::None))
        .lasting(8_000)
}
