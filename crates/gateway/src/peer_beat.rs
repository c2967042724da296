//! What instances tell each other in a heartbeat.

use crate::prelude::*;

/// What an instance tells another one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PeerBeat {
    /// Name of the sender.
    pub(crate) instance: String,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub(crate) incarnation: u64,
    /// Whether it is about to end.
    pub(crate) is_stopping: bool,
    /// Of a leader: whether its first successor should take over, though nothing is wrong.
    pub(crate) yields: bool,
    /// Newest revision it knows of servers, configuration and records.
    pub(crate) revisions: [u64; 3],
    /// Instances that it hears, itself included.
    pub(crate) heard: u32,
    /// Whether the store does not answer it.
    pub(crate) store_lost: bool,
    /// Of a leader: instances that should watch the store; none when all should.
    pub(crate) watchers: Vec<String>,
    /// How it stands to each keyed service.
    pub(crate) leads: Vec<LeadBeat>,
    /// Of a leader: changes of key records that it has just written.
    pub(crate) deltas: Vec<DeltaBeat>,
    /// Of a leader: ranges on their way that their owners hold already.
    pub(crate) granted: Vec<GrantedBeat>,
    /// Keys of requests since its last heartbeat.
    pub(crate) samples: Vec<SampleBeat>,
    /// How fast it found servers.
    pub(crate) paces: Vec<PaceBeat>,
}

/// How an instance stands to a keyed service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LeadBeat {
    pub(crate) service: String,
    pub(crate) term: u64,
    pub(crate) leads: bool,
    /// Time since the store confirmed the leader.
    pub(crate) confirmed_age: Duration,
}

/// A change of a key record.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DeltaBeat {
    pub(crate) service: String,
    /// Revision of the record before it.
    pub(crate) base: u64,
    /// Revision of the record after it.
    pub(crate) revision: u64,
    pub(crate) delta: RecordDelta,
}

/// A range on its way that its owner holds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GrantedBeat {
    pub(crate) service: String,
    pub(crate) first: u16,
    pub(crate) fence: u64,
}

/// Keys of recent requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SampleBeat {
    pub(crate) service: String,
    pub(crate) keys: Vec<u16>,
    pub(crate) total: u32,
}

/// Service time of one server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PaceBeat {
    pub(crate) server: ServerIncarnation,
    /// Mean time that a request runs, in seconds.
    pub(crate) service_time: f64,
    pub(crate) samples: u32,
}
