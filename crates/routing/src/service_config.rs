//! One service as the configuration declares it.

use crate::prelude::*;

/// A group of servers that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one server takes from all callers together.
    pub max_connections: usize,
    /// Whether each key is held by one server only.
    pub keyed: bool,
    /// Time for which keys stay slow that arrive without their handover.
    pub warmup: Duration,
}
