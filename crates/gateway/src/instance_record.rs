//! The record that each instance writes to the platform's store to announce itself.

use crate::prelude::*;

/// Identity and addresses of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct InstanceRecord {
    /// Name of the instance.
    pub(crate) name: String,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub(crate) incarnation: u64,
    /// Address that receives heartbeats.
    pub(crate) address: SocketAddr,
    /// Address that serves the feed of the store's objects.
    pub(crate) feed_address: SocketAddr,
    /// Address that accepts requests of other instances, if there is one.
    #[serde(default)]
    pub(crate) relay_address: Option<SocketAddr>,
    /// Data centre that it runs in.
    pub(crate) data_centre: String,
    /// Share of a core that it may use.
    pub(crate) processor_share: f64,
}

impl InstanceRecord {
    /// Prefix of the object names of instance records.
    pub(crate) const PREFIX: &'static str = "instance.";
}
