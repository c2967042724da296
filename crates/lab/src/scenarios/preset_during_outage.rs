//! The preset is switched while the store is down.

use crate::prelude::*;
use FaultEvent::{SetStoreFault, SwitchPreset};

/// Defines the scenario `preset-during-outage`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("preset-during-outage")
        .at(2_500, SetStoreFault(StoreFault::Down))
        .at(3_000, SwitchPreset("peak"))
        .at(5_000, SetStoreFault(StoreFault::None))
}
