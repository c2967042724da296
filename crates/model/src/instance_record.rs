//! Registration of a router instance in the store.

use crate::prelude::*;

/// Address, data centre and stopping state that an instance publishes for its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Identity of the instance's current incarnation.
    pub id: InstanceId,
    /// Address on which the instance accepts connections from its peers.
    pub peer_address: SocketAddr,
    /// Data centre from the instance's settings.
    pub data_centre: String,
    /// Whether the instance has begun a graceful stop.
    pub leaving: bool,
}
