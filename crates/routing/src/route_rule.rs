//! One route: which requests it takes and what may be done with them.

use crate::prelude::*;

/// A route of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name in logs and metrics.
    pub name: String,
    /// Path prefix, begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank, 0 is the highest.
    pub priority: u32,
    /// Services that share the route's requests.
    pub split: Vec<WeightedService>,
    /// Most servers that one request may be sent to.
    pub max_attempts: u32,
}

/// One service's share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share relative to the other parts.
    pub weight: f64,
}
