//! Another instance, as it was last heard.

use crate::{
    peer_beat::{LeadBeat, PeerBeat},
    prelude::*,
};

/// An instance's record and its last heartbeat.
pub(crate) struct PeerState {
    pub(crate) record: InstanceRecord,
    /// Revision of the record.
    pub(crate) revision: u64,
    pub(crate) heard_at: Option<MonoTime>,
    pub(crate) beat: PeerBeat,
}

impl PeerState {
    /// Whether it was heard within a time.
    pub(crate) fn is_heard(&self, now: MonoTime, within: Duration) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < within)
    }

    /// How it stands to a service.
    pub(crate) fn lead_of(&self, service: &str) -> Option<&LeadBeat> {
        self.beat.leads.iter().find(|lead| lead.service == service)
    }
}

/// Which instances a leader wants to watch the store; none when all should.
#[derive(Default)]
pub(crate) struct WatchOrder {
    pub(crate) watchers: Vec<String>,
    /// The last ones that were named; they take over first.
    pub(crate) successors: Vec<String>,
    pub(crate) at: MonoTime,
}
