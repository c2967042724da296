//! Every twentieth request of two servers is answered after its deadline.

use crate::prelude::*;
use FaultEvent::ChangeServer;

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("late-answers")
        .at(3_000, ChangeServer("viewing-1", late))
        .at(3_000, ChangeServer("filing-1", late))
}

fn late(behaviour: &mut ServerBehaviour) {
    behaviour.late_every = 20;
    behaviour.late_time = Duration::from_millis(BenchService::DEADLINE_MS + 300);
}
