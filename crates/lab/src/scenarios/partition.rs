//! A leader and its peers, then a leader and the store and a server, do not reach each other.

use crate::prelude::*;
use FaultEvent::{CutPeers, CutServer, CutStore, Heal};
use InstanceChoice::{Last, LeaderOf};

/// The scenario.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("partition")
        .linked()
        .at(3_000, CutPeers(LeaderOf("viewing")))
        .at(4_500, Heal)
        .at(5_000, CutStore(LeaderOf("filing")))
        .at(5_000, CutServer(Last, "filing-1"))
        .at(6_500, Heal)
        .lasting(8_000)
}
