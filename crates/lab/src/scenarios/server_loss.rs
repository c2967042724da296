//! Loss of one server of an exclusive service.

use crate::prelude::*;
use FaultEvent::KillServer;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("server-loss").at(3_500, KillServer("viewing-1"))
}
