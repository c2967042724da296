//! The capacity of a server that may own slices.

use crate::prelude::*;

/// A server with the number of its usable slots.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerCapacity {
    /// Name of the server.
    pub name: ServerName,
    /// Slots that may be used under the active preset.
    pub slots: f64,
    /// Whether the server is in the leader's data centre.
    pub same_data_centre: bool,
}
