//! One server of each kind refuses further requests while it runs one.

use crate::prelude::*;
use FaultEvent::ChangeServer;

/// Defines the scenario `shedding-server`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("shedding-server")
        .at(
            3_500,
            ChangeServer("viewing-1", |behaviour| behaviour.shed_threshold = Some(1)),
        )
        .at(
            3_500,
            ChangeServer("archives-1", |behaviour| behaviour.shed_threshold = Some(1)),
        )
}
