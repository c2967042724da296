//! Where an instance is reached, kept in the platform's store.

use crate::prelude::*;

/// One instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct InstanceRecord {
    /// Name of the instance.
    pub(crate) name: String,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub(crate) incarnation: u64,
    /// Where heartbeats reach it.
    pub(crate) address: SocketAddr,
    /// Where it hands the store's objects on.
    pub(crate) feed_address: SocketAddr,
    /// Data centre that it runs in.
    pub(crate) data_centre: String,
    /// Share of a core that it may use.
    pub(crate) processor_share: f64,
}

impl InstanceRecord {
    /// Prefix of the records' names.
    pub(crate) const PREFIX: &'static str = "instance.";
}
