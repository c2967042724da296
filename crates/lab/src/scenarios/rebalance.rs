//! A server is added to each exclusive service.

use crate::prelude::*;
use FaultEvent::AddServer;

/// Defines the scenario `rebalance`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("rebalance")
        .at(3_000, AddServer("viewing"))
        .at(4_500, AddServer("filing"))
        .lasting(9_000)
}
