//! All open connections to servers are silenced; new ones work.

use crate::prelude::*;
use FaultEvent::SilenceConnections;

/// Defines the scenario `silent-connection`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("silent-connection")
        .with_links()
        .at(3_500, SilenceConnections)
}
