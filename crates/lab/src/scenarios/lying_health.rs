//! One server claims to be idle, another to be full.

use crate::prelude::*;
use FaultEvent::ChangeServer;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("lying-health")
        .load(0, 70.0)
        .at(
            3_500,
            ChangeServer("archives-0", |behaviour| behaviour.claimed_busy = Some(0)),
        )
        .at(
            3_500,
            ChangeServer("archives-1", |behaviour| behaviour.claimed_busy = Some(99)),
        )
}
