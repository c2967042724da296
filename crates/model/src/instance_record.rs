//! Registration of an entry instance in the store.

use crate::prelude::*;

/// Where an instance is reached and whether it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Identity of the run.
    pub id: InstanceId,
    /// Address of the peers' listener.
    pub peer_address: SocketAddr,
    /// Data centre from the settings.
    pub data_centre: String,
    /// Set once a planned stop has begun.
    pub leaving: bool,
}
