//! One server of each kind becomes four times as slow.

use crate::prelude::*;
use FaultEvent::ChangeServer;

/// Defines the scenario `slow-server`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("slow-server")
        .at(
            3_500,
            ChangeServer("viewing-1", |behaviour| behaviour.slowdown = 4),
        )
        .at(
            3_500,
            ChangeServer("archives-1", |behaviour| behaviour.slowdown = 4),
        )
}
