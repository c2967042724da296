//! How a caller uses connections.

use crate::prelude::*;

/// Which connections a caller uses, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionPolicy {
    /// Some requests on each connection, always to an instance in rotation.
    Rotating,
    /// One connection until the instance ends it or says that it will, and often the same instance
    /// again, also when that is out of rotation.
    Sticky,
}

impl ConnectionPolicy {
    /// One in so many callers stays.
    const STICKY_EVERY: usize = 3;
    /// Share of a staying caller's new connections that go to the same instance again.
    const SAME_INSTANCE_PROBABILITY: f64 = 0.5;
    /// Time for which a caller thinks between two requests, in milliseconds.
    const THINK_TIME_MS: std::ops::Range<u64> = 10..120;
    /// The same of a caller that stays: its next request may come late in a stop.
    const STICKY_THINK_TIME_MS: std::ops::Range<u64> = 10..1_500;
    /// Requests on one connection.
    const REQUESTS_PER_CONNECTION: std::ops::Range<u32> = 1..12;

    /// Habit of a caller.
    pub(crate) fn for_caller(number: usize) -> Self {
        match number.is_multiple_of(Self::STICKY_EVERY) {
            true => Self::Sticky,
            false => Self::Rotating,
        }
    }

    /// Pause before the next request.
    pub(crate) fn think_time(self, rng: &mut StdRng) -> Duration {
        let range = match self {
            Self::Sticky if rng.random_bool(0.5) => Self::STICKY_THINK_TIME_MS,
            _ => Self::THINK_TIME_MS,
        };
        Duration::from_millis(rng.random_range(range))
    }

    /// Requests that the next connection may take.
    pub(crate) fn max_requests(self, rng: &mut StdRng) -> u32 {
        match self {
            Self::Rotating => rng.random_range(Self::REQUESTS_PER_CONNECTION),
            Self::Sticky => u32::MAX,
        }
    }

    /// Instance for a new connection.
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
