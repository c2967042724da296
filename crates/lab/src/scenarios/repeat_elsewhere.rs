//! Instances' connections to servers fall silent, and callers repeat at other instances.

use crate::prelude::*;
use FaultEvent::SilenceServers;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("repeat-elsewhere")
        .linked()
        .at(3_000, SilenceServers)
        .at(5_000, SilenceServers)
}
