//! A preset is switched while the store is down.

use crate::prelude::*;
use FaultEvent::{Store, UsePreset};

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("preset-during-outage")
        .at(2_500, Store(StoreFault::Down))
        .at(3_000, UsePreset("peak"))
        .at(5_000, Store(StoreFault::None))
}
