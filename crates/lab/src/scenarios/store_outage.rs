//! The store is down for 3 s, and nothing else fails.

use crate::prelude::*;
use FaultEvent::SetStoreFault;

/// Defines the scenario `store-outage`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("store-outage")
        .at(3_000, SetStoreFault(StoreFault::Down))
        .at(6_000, SetStoreFault(StoreFault::None))
        .lasting(8_000)
}
