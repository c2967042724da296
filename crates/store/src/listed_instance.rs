//! Entries of the platform's list of instances, which is eventually consistent.

use crate::prelude::*;

/// Instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// Incarnation number, which tells apart successive processes of the same name.
    pub incarnation: u64,
    /// Address of the instance's listener for peers.
    pub address: SocketAddr,
    /// Name of the data centre in which the instance runs.
    pub data_centre: String,
    /// Lifecycle state of the instance.
    pub state: ListedState,
}

/// Lifecycle state of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance is running.
    Live,
    /// The instance has begun a planned shutdown.
    Leaving,
    /// The instance has terminated.
    Gone,
}
