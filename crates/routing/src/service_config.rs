//! Configuration of one service.

use crate::prelude::*;

/// Configuration of a service, a group of servers that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: String,
    /// Path of the servers' health check.
    pub health_path: String,
    /// Connections that one server accepts from all instances together.
    pub max_connections: usize,
    /// Whether each key is owned exclusively by one server.
    pub keyed: bool,
    /// Time for which a server is slow with keys that it received without handover data.
    pub warmup: Duration,
    /// Time for which a server is cold after its start.
    pub cold_time: Duration,
    /// Requests per second that a cold server should get from all instances together, if its
    /// operators say so.
    pub cold_rate: Option<f64>,
}
