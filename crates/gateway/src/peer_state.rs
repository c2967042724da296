//! State of another instance as of its last heartbeat.

use crate::{
    peer_clock::PeerClock,
    peer_heartbeat::{LeadershipStatus, PeerHeartbeat},
    prelude::*,
};

/// Record and last heartbeat of another instance.
pub(crate) struct PeerState {
    pub(crate) record: InstanceRecord,
    /// Revision of the instance record in the store.
    pub(crate) revision: StoreRevision,
    pub(crate) heard_at: Option<MonoTime>,
    pub(crate) heartbeat: PeerHeartbeat,
    /// Place in the order in which instances act for all others.
    pub(crate) order: u64,
    pub(crate) clock: PeerClock,
}

impl PeerState {
    /// Whether the last heartbeat is more recent than `within`.
    pub(crate) fn heard_within(&self, now: MonoTime, within: Duration) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < within)
    }

    /// Whether a record at `revision` is of an earlier incarnation, from the copy of which the store
    /// was restored since this one was learnt.
    pub(crate) fn is_superseded_copy(
        &self,
        record: &InstanceRecord,
        revision: StoreRevision,
    ) -> bool {
        let is_later_era = revision.era > self.revision.era;
        is_later_era && record.incarnation < self.record.incarnation
    }

    /// Leadership that the instance last reported for a service.
    pub(crate) fn leadership_of(&self, service: &str) -> Option<&LeadershipStatus> {
        self.heartbeat
            .leaderships
            .iter()
            .find(|status| status.service == service)
    }
}

/// Instances that a leader assigns to watch the store.
#[derive(Default)]
pub(crate) struct WatcherAssignment {
    /// Assigned instances; empty when all instances should watch.
    pub(crate) watchers: Vec<String>,
    /// Instances of the last assignment that was not empty; they take over leadership first.
    pub(crate) successors: Vec<String>,
    /// Instances that do not reach the servers of some data centre, as the leader knows it.
    pub(crate) isolated: Vec<String>,
    /// Time at which the assignment was received.
    pub(crate) received_at: MonoTime,
}
