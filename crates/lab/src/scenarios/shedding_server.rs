//! One server of each kind sheds load above one running request.

use crate::prelude::*;
use FaultEvent::ChangeServer;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("shedding-server")
        .at(
            3_500,
            ChangeServer("viewing-1", |behaviour| behaviour.sheds_from = Some(1)),
        )
        .at(
            3_500,
            ChangeServer("archives-1", |behaviour| behaviour.sheds_from = Some(1)),
        )
}
