//! One route: which requests it matches and how they are handled.

use crate::prelude::*;

/// Route of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Path prefix that starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Longest time until a caller gets an answer.
    pub timeout: Duration,
    /// Latency within which an answer is of most value. While requests wait, those that can no
    /// longer meet it come after all others.
    pub target_latency: Duration,
    /// Priority in the waiting queue; 0 is the highest.
    pub priority: u32,
    /// Services among which the route's requests are split.
    pub split: Vec<WeightedService>,
    /// Highest number of servers that one request may be sent to.
    pub max_attempts: u32,
}

/// Service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}
