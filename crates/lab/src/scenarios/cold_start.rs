//! Lost servers return cold and run slowly at first.

use crate::prelude::*;
use FaultEvent::{ChangeServer, KillServer, ReturnServer};

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("cold-start")
        .at(2_500, KillServer("viewing-1"))
        .at(2_500, KillServer("archives-1"))
        .at(
            2_600,
            ChangeServer("viewing-1", |behaviour| {
                behaviour.cold_time = Duration::from_secs(3);
            }),
        )
        .at(
            2_600,
            ChangeServer("archives-1", |behaviour| {
                behaviour.cold_time = Duration::from_secs(3);
            }),
        )
        .at(4_500, ReturnServer("viewing-1"))
        .at(4_500, ReturnServer("archives-1"))
        .lasting(9_000)
}
