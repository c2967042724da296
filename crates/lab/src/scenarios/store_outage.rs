//! The store is down for some seconds, and nothing else fails.

use crate::prelude::*;
use FaultEvent::Store;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("store-outage")
        .at(3_000, Store(StoreFault::Down))
        .at(6_000, Store(StoreFault::None))
        .lasting(8_000)
}
