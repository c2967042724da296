//! A leader is cut off from its peers, then another one from the store and a server.

use crate::prelude::*;
use FaultEvent::{CutPeers, CutServer, CutStore, RestoreLinks};
use InstanceChoice::{Last, LeaderOf};

/// Defines the scenario `partition`.
pub(crate) fn plan() -> ScenarioPlan {
    ScenarioPlan::new("partition")
        .with_links()
        .at(3_000, CutPeers(LeaderOf("viewing")))
        .at(4_500, RestoreLinks)
        .at(5_000, CutStore(LeaderOf("filing")))
        .at(5_000, CutServer(Last, "filing-1"))
        .at(6_500, RestoreLinks)
        .lasting(8_000)
}
