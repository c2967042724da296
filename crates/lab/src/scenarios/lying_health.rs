//! One server reports that it is idle, another one that it is full.

use crate::prelude::*;
use FaultEvent::ChangeServer;

/// Defines the scenario `lying-health`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("lying-health")
        .load(0, 70.0)
        .at(
            3_500,
            ChangeServer("archives-0", |behaviour| behaviour.reported_busy = Some(0)),
        )
        .at(
            3_500,
            ChangeServer("archives-1", |behaviour| behaviour.reported_busy = Some(99)),
        )
}
