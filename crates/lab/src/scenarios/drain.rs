//! A server says that it leaves and ends three seconds later.

use crate::prelude::*;
use FaultEvent::{ServerLeaves, StopServer};

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("drain")
        .at(3_000, ServerLeaves("viewing-1"))
        .at(3_000, ServerLeaves("archives-1"))
        .at(6_500, StopServer("viewing-1"))
        .at(6_500, StopServer("archives-1"))
        .lasting(8_000)
}
