//! Declaration of a licensed server.

use crate::prelude::*;

/// Declared address, capacity and capabilities of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDeclaration {
    /// Name of the server, unique among the servers of all services.
    pub name: ServerName,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Name of the data centre in which the server runs.
    pub data_centre: String,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the server accepts from all instances together.
    pub connections: u32,
    /// Whether the server refuses orders and requests with a fence below the highest accepted one.
    #[serde(default)]
    pub checks_fences: bool,
}
