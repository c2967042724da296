//! Two servers answer every twentieth request after its deadline.

use crate::prelude::*;
use FaultEvent::ChangeServer;

/// Defines the scenario `late-answers`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("late-answers")
        .at(3_000, ChangeServer("viewing-1", late))
        .at(3_000, ChangeServer("filing-1", late))
}

fn late(behaviour: &mut ServerBehaviour) {
    behaviour.late_every = 20;
    behaviour.late_run_time = Duration::from_millis(ClusterService::DEADLINE_MS + 300);
}
