//! Bound on the requests that a cold server gets in one second from all instances together.

use crate::prelude::*;

/// The bound: `overage` times the rate of a service's cold servers, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupBound {
    /// Factor on the requests per second that cold servers of a service should get.
    pub overage: f64,
    /// Additional requests in one second.
    pub slack: f64,
}

impl WarmupBound {
    /// Time within which a request that has taken a token is sent, or else not at all.
    pub const SENDING_TIME: Duration = Duration::from_millis(500);

    /// Requests allowed in one second, for servers that should get `per_second`.
    pub fn requests(&self, per_second: f64) -> f64 {
        per_second * self.overage + self.slack
    }

    /// Rate at which tokens are granted to servers that should get `per_second`: as much, unless
    /// the bound leaves no room for the depth of the bucket, the leases and the sending.
    pub fn rate(&self, per_second: f64) -> f64 {
        let window = Duration::from_secs(1) + Self::SENDING_TIME;
        QuotaHolder::rate_within(self.requests(per_second), window).min(per_second)
    }
}
