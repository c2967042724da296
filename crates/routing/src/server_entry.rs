//! One server as discovery tells it.

use crate::prelude::*;

/// A server's entry in discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Which life of which server.
    pub incarnation: ServerIncarnation,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Time for which it stays slow after its start.
    pub warmup_left: Duration,
}

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
}
