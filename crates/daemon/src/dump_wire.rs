//! JSON form of an instance's state, for operators.

use crate::{decision_log::DecisionEntry, prelude::*};

/// State from which an instance decides, limited in size.
#[derive(Debug, Serialize)]
pub(crate) struct DumpWire {
    pub(crate) instance: String,
    pub(crate) data_centre: String,
    pub(crate) revision: u64,
    pub(crate) preset: String,
    pub(crate) ready: bool,
    pub(crate) draining: bool,
    pub(crate) in_flight: usize,
    pub(crate) connections: ConnectionDump,
    pub(crate) store: StoreDump,
    pub(crate) feed: FeedDump,
    pub(crate) parts: Vec<PartDump>,
    pub(crate) servers: Vec<ServerDump>,
    pub(crate) peers: Vec<PeerDump>,
    pub(crate) queues: Vec<QueueDump>,
    pub(crate) budgets: Vec<BudgetDump>,
    pub(crate) decisions: Vec<DecisionEntry>,
    /// Whether entries may have been left out to limit the size.
    pub(crate) truncated: bool,
}

/// Summary of the state.
#[derive(Debug, Serialize)]
pub(crate) struct StatusWire {
    pub(crate) instance: String,
    pub(crate) data_centre: String,
    pub(crate) revision: u64,
    pub(crate) preset: String,
    pub(crate) ready: bool,
    pub(crate) draining: bool,
    pub(crate) in_flight: usize,
    /// Slices of parts led by this instance that have an owner without a valid grant.
    pub(crate) unavailable_slices: usize,
    pub(crate) store: StoreDump,
    pub(crate) parts: Vec<PartStatus>,
    pub(crate) servers: Vec<ServerDump>,
    pub(crate) peers: Vec<PeerDump>,
}

/// Summary of a part.
#[derive(Debug, Serialize)]
pub(crate) struct PartStatus {
    pub(crate) part: String,
    pub(crate) term: u64,
    pub(crate) edition: u64,
    pub(crate) leader: String,
    pub(crate) led_here: bool,
    pub(crate) slices: usize,
}

impl From<&PartDump> for PartStatus {
    fn from(dump: &PartDump) -> Self {
        Self {
            part: dump.part.clone(),
            term: dump.term,
            edition: dump.edition,
            leader: dump.leader.clone(),
            led_here: dump.led_here,
            slices: dump.slices.len(),
        }
    }
}

/// Open connections by listener, and the number of refused connections.
#[derive(Debug, Default, Serialize)]
pub(crate) struct ConnectionDump {
    pub(crate) callers: usize,
    pub(crate) operators: usize,
    pub(crate) peers: usize,
    pub(crate) refused: u64,
}

/// Health of the store and number of calls by kind, as seen by this instance.
#[derive(Debug, Default, Serialize)]
pub(crate) struct StoreDump {
    pub(crate) state: String,
    pub(crate) calls: IndexMap<String, u64>,
}

/// Progress and traffic of this instance's change feed.
#[derive(Debug, Serialize)]
pub(crate) struct FeedDump {
    pub(crate) watches: bool,
    pub(crate) cut_off: bool,
    pub(crate) complete: u64,
    pub(crate) newest: u64,
    /// Time since the last call that the store answered was sent, or since the start.
    pub(crate) store_heard_ms: u64,
    /// Time since the last call that a peer answered was sent, or since the start.
    pub(crate) peer_heard_ms: u64,
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
}

/// A part as known to this instance.
#[derive(Debug, Serialize)]
pub(crate) struct PartDump {
    pub(crate) part: String,
    pub(crate) term: u64,
    pub(crate) edition: u64,
    pub(crate) leader: String,
    pub(crate) standbys: Vec<String>,
    pub(crate) led_here: bool,
    pub(crate) lease_left_ms: Option<u64>,
    pub(crate) slices: Vec<SliceDump>,
}

/// A slice; the time left of its grant is known only to the part's leader.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SliceDump {
    pub(crate) start: String,
    pub(crate) end: String,
    pub(crate) owner: Option<String>,
    pub(crate) fence: String,
    pub(crate) grant_left_ms: Option<u64>,
}

/// A declared server and its load as known to this instance.
#[derive(Debug, Serialize)]
pub(crate) struct ServerDump {
    pub(crate) service: String,
    pub(crate) server: String,
    pub(crate) data_centre: String,
    pub(crate) state: String,
    pub(crate) running: u32,
    pub(crate) queued: usize,
    pub(crate) slots: u32,
    pub(crate) reported_busy: Option<u32>,
}

/// Another instance.
#[derive(Debug, Serialize)]
pub(crate) struct PeerDump {
    pub(crate) instance: String,
    pub(crate) address: String,
    pub(crate) data_centre: String,
    pub(crate) state: String,
    pub(crate) revision: Option<u64>,
}

/// Number of requests waiting for one server.
#[derive(Debug, Serialize)]
pub(crate) struct QueueDump {
    pub(crate) server: String,
    pub(crate) waiting: usize,
}

/// Remainder of a budget.
#[derive(Debug, Serialize)]
pub(crate) struct BudgetDump {
    pub(crate) budget: String,
    pub(crate) left: f64,
}

/// Where a key is served, with the latest decisions on its part.
#[derive(Debug, Serialize)]
pub(crate) struct ExplainWire {
    pub(crate) service: String,
    pub(crate) key_hash: String,
    pub(crate) part: String,
    pub(crate) term: u64,
    pub(crate) edition: u64,
    pub(crate) leader: String,
    pub(crate) standbys: Vec<String>,
    pub(crate) led_here: bool,
    pub(crate) slice: Option<SliceDump>,
    pub(crate) decisions: Vec<DecisionEntry>,
}

impl From<&InstanceRecord> for PeerDump {
    fn from(record: &InstanceRecord) -> Self {
        Self {
            instance: record.id.to_string(),
            address: record.peer_address.to_string(),
            data_centre: record.data_centre.clone(),
            state: if record.leaving { "leaving" } else { "live" }.into(),
            revision: None,
        }
    }
}
