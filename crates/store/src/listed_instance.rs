//! The platform's list of instances, which lags.

use crate::prelude::*;

/// One instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub name: String,
    /// Number of its run.
    pub incarnation: u64,
    /// Address of its peers' listener.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Whether it leaves.
    pub state: ListedState,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Runs.
    Live,
    /// A planned stop has begun.
    Leaving,
    /// Ended.
    Gone,
}
