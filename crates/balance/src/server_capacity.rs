//! A server as a place for slices.

use crate::prelude::*;

/// What a server can take.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerCapacity {
    /// Name.
    pub name: ServerName,
    /// Slots that may be used.
    pub slots: f64,
    /// Whether it is in the leader's data centre.
    pub same_data_centre: bool,
}
