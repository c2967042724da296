//! A licensed server as declared.

use crate::prelude::*;

/// Where a server is reached and what it can carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDeclaration {
    /// Name, unique among the servers of all services.
    pub name: ServerName,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Data centre it runs in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes from all instances together.
    pub connections: u32,
    /// Whether it refuses orders and requests below the highest fence it has accepted.
    #[serde(default)]
    pub checks_fences: bool,
}
