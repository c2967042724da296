//! Bounds of the memory of request ids.

use crate::prelude::*;

/// How long and how much is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DedupLimits {
    /// Time for which an id is remembered, counted from the id's own timestamp.
    pub window: Duration,
    /// Longest time by which an id's timestamp may lie ahead of our clock.
    pub ahead: Duration,
    /// Most ids.
    pub entries: usize,
    /// Most bytes of recorded answers.
    pub bytes: usize,
    /// Largest answer that is recorded, in bytes.
    pub answer_bytes: usize,
}

impl Default for DedupLimits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            ahead: Duration::from_secs(2),
            entries: 65_536,
            bytes: 4 << 20,
            answer_bytes: 16 << 10,
        }
    }
}
