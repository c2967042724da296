//! Content of the heartbeats between instances.

use crate::prelude::*;

/// Heartbeat of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PeerHeartbeat {
    /// Name of the sender.
    pub(crate) instance: String,
    /// Start time of the sender's process, in milliseconds since the Unix epoch.
    pub(crate) incarnation: u64,
    /// Whether the sender is shutting down.
    pub(crate) is_stopping: bool,
    /// Of a leader: whether its first successor should take over although the leader is healthy.
    pub(crate) yields: bool,
    /// Latest revisions that the sender knows of servers, configuration and records.
    pub(crate) revisions: KindRevisions,
    /// Era of the store that the sender knows; `None` if it does not tell.
    pub(crate) era: Option<StoreEra>,
    /// When the heartbeat was sent, on the sender's clock.
    pub(crate) sent_at: MonoTime,
    /// Age of what the sender knows; `None` if it does not tell.
    pub(crate) knowledge: Option<KnowledgeReport>,
    /// Number of live instances that the sender hears, itself included.
    pub(crate) live_count: u32,
    /// Whether the store is unavailable to the sender.
    pub(crate) store_lost: bool,
    /// Whether the store failed so recently for the sender that entries of live servers may be missing.
    pub(crate) store_unstable: bool,
    /// Whether the sender does not reach the servers of some data centre.
    pub(crate) servers_lost: bool,
    /// Of a leader: instances that do not reach the servers of some data centre.
    pub(crate) isolated: Vec<String>,
    /// Of a leader: instances that should watch the store; empty when all should.
    pub(crate) watchers: Vec<String>,
    /// Leadership of each keyed service as the sender sees it.
    pub(crate) leaderships: Vec<LeadershipStatus>,
    /// Of a leader: recently written changes of key records.
    pub(crate) record_updates: Vec<RecordUpdate>,
    /// Of a leader: moving ranges that are already granted to their new owners.
    pub(crate) granted_ranges: Vec<GrantedRange>,
    /// Samples of the keys of requests since the sender's last heartbeat.
    pub(crate) key_samples: Vec<KeySamples>,
    /// Service times of servers as measured by the sender.
    pub(crate) service_times: Vec<ServiceTimeReport>,
    /// Limits that servers name or have lifted.
    pub(crate) limits: Vec<KnownLimit>,
    /// Servers that say in answers that they are cold.
    pub(crate) cold: Vec<ColdServer>,
    /// Servers that want no requests from the sender.
    pub(crate) rests: Vec<KnownRest>,
    /// Servers that say that they leave.
    pub(crate) leaving: Vec<ServerIncarnation>,
    /// Requests under which servers crashed.
    pub(crate) suspects: Vec<SuspectReport>,
}

impl PeerHeartbeat {
    /// Takes revisions that were sent without an era to be of the given one.
    pub(crate) fn assume_era(&mut self, era: u64) {
        self.revisions = self.revisions.map(|revision| revision.or_era(era));
        for update in &mut self.record_updates {
            update.base_revision = update.base_revision.or_era(era);
            update.revision = update.revision.or_era(era);
        }
    }
}

/// Leadership of a keyed service, as seen by the sender.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LeadershipStatus {
    pub(crate) service: String,
    /// Term of the key record that the sender knows.
    pub(crate) term: u64,
    /// Whether the sender is the leader.
    pub(crate) is_leader: bool,
    /// Time since the store confirmed the sender's leadership.
    pub(crate) confirmation_age: Duration,
    /// When the leader of the term sent the last heartbeat that the sender has received from it, on
    /// the leader's clock.
    pub(crate) leader_heard_at: Option<MonoTime>,
}

/// Change of a key record that the leader has written.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RecordUpdate {
    pub(crate) service: String,
    /// Revision of the record before the change.
    pub(crate) base_revision: StoreRevision,
    /// Revision of the record after the change.
    pub(crate) revision: StoreRevision,
    pub(crate) delta: RecordDelta,
}

/// Moving range that is already granted to its new owner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GrantedRange {
    pub(crate) service: String,
    pub(crate) first: u16,
    pub(crate) fence: u64,
}

/// Sample of the keys of recent requests to a service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct KeySamples {
    pub(crate) service: String,
    pub(crate) keys: Vec<u16>,
    /// Number of requests from which the keys were sampled.
    pub(crate) total: u32,
}

/// Measured service time of one server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceTimeReport {
    pub(crate) server: ServerIncarnation,
    /// Mean execution time of a request, in seconds.
    pub(crate) service_time: f64,
    pub(crate) samples: u32,
}

/// Server that wants no requests from the sender.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct KnownRest {
    pub(crate) server: ServerIncarnation,
    /// Time for which the server still wants none.
    pub(crate) left: Duration,
}

/// Server that is cold, as it says in answers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ColdServer {
    pub(crate) server: ServerIncarnation,
    /// Time for which it is still cold.
    pub(crate) left: Duration,
}

/// What the sender knows of a server's limit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct KnownLimit {
    pub(crate) server: ServerIncarnation,
    pub(crate) report: LimitReport,
}
