//! A server freezes and resumes, still believing that it owns its keys.

use crate::prelude::*;
use FaultEvent::{FreezeServer, UnfreezeServer};

/// Defines the scenario `server-freeze`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("server-freeze")
        .at(3_500, FreezeServer("viewing-1"))
        .at(5_500, UnfreezeServer("viewing-1"))
}
