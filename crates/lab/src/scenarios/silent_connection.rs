//! All open connections to servers fall silent, and new ones work.

use crate::prelude::*;
use FaultEvent::SilenceServers;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("silent-connection")
        .linked()
        .at(3_500, SilenceServers)
}
