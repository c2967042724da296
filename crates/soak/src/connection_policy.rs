//! Policy of a caller for its connections and the time between requests.

use crate::prelude::*;

/// How a caller selects instances and reuses connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionPolicy {
    /// Sends a few requests on each connection; each connection goes to an instance in rotation.
    Rotating,
    /// Keeps a connection until the instance closes it or announces that. The next connection often
    /// goes to the same instance, even if that is out of rotation.
    Sticky,
}

impl ConnectionPolicy {
    /// One in this many callers is sticky.
    const STICKY_EVERY: usize = 3;
    /// Probability that a sticky caller opens its next connection to the same instance.
    const SAME_INSTANCE_PROBABILITY: f64 = 0.5;
    /// Pause between two requests of a caller, in milliseconds.
    const THINK_TIME_MS: std::ops::Range<u64> = 10..120;
    /// Pause between two requests of a sticky caller, in milliseconds, used for half of its pauses;
    /// long enough that a request may arrive late during a stop of the instance.
    const STICKY_THINK_TIME_MS: std::ops::Range<u64> = 10..1_500;
    /// Number of requests that a rotating caller sends on one connection.
    const REQUESTS_PER_CONNECTION: std::ops::Range<u32> = 1..12;

    /// Returns the policy of the caller with the given number.
    pub(crate) fn for_caller(number: usize) -> Self {
        match number.is_multiple_of(Self::STICKY_EVERY) {
            true => Self::Sticky,
            false => Self::Rotating,
        }
    }

    /// Draws the pause before the next request.
    pub(crate) fn think_time(self, rng: &mut StdRng) -> Duration {
        let range = match self {
            Self::Sticky if rng.random_bool(0.5) => Self::STICKY_THINK_TIME_MS,
            _ => Self::THINK_TIME_MS,
        };
        Duration::from_millis(rng.random_range(range))
    }

    /// Draws the largest number of requests for the next connection.
    pub(crate) fn max_requests(self, rng: &mut StdRng) -> u32 {
        match self {
            Self::Rotating => rng.random_range(Self::REQUESTS_PER_CONNECTION),
            Self::Sticky => u32::MAX,
        }
    }

    /// Chooses the instance for the next connection; `last` is that of the last connection.
    pub(crate) fn choose_instance(
        self,
        balancer: &SimulatedBalancer,
        last: Option<usize>,
        rng: &mut StdRng,
    ) -> usize {
        match last {
            Some(last)
                if self == Self::Sticky && rng.random_bool(Self::SAME_INSTANCE_PROBABILITY) =>
            {
                last
            }
            _ => balancer.choose_instance(),
        }
    }
}
