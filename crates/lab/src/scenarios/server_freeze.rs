//! A server freezes and returns, still believing that it owns its keys.

use crate::prelude::*;
use FaultEvent::{FreezeServer, ThawServer};

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("server-freeze")
        .at(3_500, FreezeServer("viewing-1"))
        .at(5_500, ThawServer("viewing-1"))
}
