//! Connections to servers are silenced twice, and callers repeat requests at other instances.

use crate::prelude::*;
use FaultEvent::SilenceConnections;

/// Defines the scenario `repeat-elsewhere`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("repeat-elsewhere")
        .with_links()
        .at(3_000, SilenceConnections)
        .at(5_000, SilenceConnections)
}
