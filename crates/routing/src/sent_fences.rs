//! Which fences may be sent over a connection to a server.
//!
//! A connection leads to one incarnation of a server, an address and an identifier to any of them. No
//! sign tells in time that a server has ended and started again, so a leader sends each fence to one
//! incarnation only: over connections that were open when it sent the fence for the first time, or that
//! are proved to lead to the same process as one of these. Over a later connection, keys are granted
//! under a new fence, which no earlier incarnation can have had.

/// Fences that this leader has sent to one server, over all connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentFences {
    /// Highest fence that has been sent.
    highest: u64,
    /// Highest fence that a connection in use must not carry.
    blocked: u64,
}

/// Highest fence that may have been sent to the server before a connection was opened; the connection
/// must not carry it or a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceFloor(u64);

/// What to do with a grant for which there is a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceStep {
    /// Send it.
    Send,
    /// Write the range under a new fence into the record first.
    Raise,
}

impl FenceFloor {
    /// Whether a connection with this floor may carry a fence.
    pub fn allows(self, fence: u64) -> bool {
        fence > self.0
    }
}

impl SentFences {
    /// Floor of a connection that has just been opened.
    pub fn floor(&self) -> FenceFloor {
        FenceFloor(self.highest)
    }

    /// Decides whether a grant may be sent over a connection, and takes note of it.
    pub fn next_step(&mut self, floor: FenceFloor, fence: u64) -> FenceStep {
        match floor.allows(fence) {
            true => {
                self.highest = self.highest.max(fence);
                FenceStep::Send
            }
            false => {
                self.blocked = self.blocked.max(floor.0);
                FenceStep::Raise
            }
        }
    }

    /// Whether a range needs a new fence before it can be granted again.
    pub fn needs_new_fence(&self, fence: u64) -> bool {
        fence <= self.blocked
    }
}
