//! Request in a server's queue.

use crate::prelude::*;

/// Number of the lowest priority; 0 is the highest.
pub(crate) const LOWEST_PRIORITY: u8 = 3;

/// Request that needs a slot of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identifier under which the request leaves the queue.
    pub ticket: u64,
    /// Priority of the request's class; 0 is the highest.
    pub priority: u8,
    /// Caller whose share of the queue the request uses.
    pub caller: String,
    /// Time on the local clock by which the answer is due.
    pub deadline: MonoTime,
}
