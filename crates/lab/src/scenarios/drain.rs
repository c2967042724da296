//! Servers announce that they are leaving and stop 3.5 s later.

use crate::prelude::*;
use FaultEvent::{AnnounceLeaving, StopServer};

/// Defines the scenario `drain`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("drain")
        .at(3_000, AnnounceLeaving("viewing-1"))
        .at(3_000, AnnounceLeaving("archives-1"))
        .at(6_500, StopServer("viewing-1"))
        .at(6_500, StopServer("archives-1"))
        .lasting(8_000)
}
