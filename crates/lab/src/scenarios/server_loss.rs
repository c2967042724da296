//! A server of an exclusive service is killed.

use crate::prelude::*;
use FaultEvent::KillServer;

/// Defines the scenario `server-loss`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("server-loss").at(3_500, KillServer("viewing-1"))
}
