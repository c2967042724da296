//! One server as described by its discovery entry.

use crate::prelude::*;

/// Discovery entry of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Identifier of the server and of this incarnation.
    pub incarnation: ServerIncarnation,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Data centre that the server runs in.
    pub data_centre: String,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Time for which the server is still slow after its start.
    pub warmup_left: Duration,
    /// Number of times that this incarnation wrote its entry, as far as it says so.
    pub sequence: Option<u64>,
}

/// State of a server, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests and then stops.
    Draining,
}
