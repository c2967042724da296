//! Servers are killed and restart cold, so that requests run longer at first.

use crate::prelude::*;
use FaultEvent::{ChangeServer, KillServer, RestartServer};

/// Defines the scenario `cold-start`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("cold-start")
        .at(2_500, KillServer("viewing-1"))
        .at(2_500, KillServer("archives-1"))
        .at(
            2_600,
            ChangeServer("viewing-1", |behaviour| {
                behaviour.warmup_time = Duration::from_secs(3);
            }),
        )
        .at(
            2_600,
            ChangeServer("archives-1", |behaviour| {
                behaviour.warmup_time = Duration::from_secs(3);
            }),
        )
        .at(4_500, RestartServer("viewing-1"))
        .at(4_500, RestartServer("archives-1"))
        .lasting(9_000)
}
