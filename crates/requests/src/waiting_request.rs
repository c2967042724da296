//! A request in a server's queue.

use crate::prelude::*;

/// Highest number of a priority; 0 is served first.
pub(crate) const LOWEST_PRIORITY: u8 = 3;

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Names the request in calls.
    pub ticket: u64,
    /// Priority, 0 is served first.
    pub priority: u8,
    /// Caller whose share it counts in.
    pub caller: String,
    /// Our reading by which its answer must be there.
    pub deadline: MonoTime,
}
