//! The clock that measures leases and timeouts.

use crate::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that keeps counting while the machine is suspended (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug, Default)]
pub struct SteadyClock;

impl SteadyClock {
    /// Current time in microseconds since the machine started.
    pub fn now(self) -> MonoTime {
        let reading = clock_gettime(ClockId::Boottime);
        MonoTime(reading.tv_sec as u64 * 1_000_000 + reading.tv_nsec as u64 / 1_000)
    }
}
