//! What one body holds of a memory budget, and its place in the order of eviction.

use crate::prelude::*;

/// Number of a body in a ledger; later bodies have higher ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyId(pub u64);

/// What a body holds, and what decides about its eviction.
#[derive(Clone, Copy, Debug)]
pub struct BodyAccount {
    /// Bytes that its blocks hold.
    pub held_bytes: usize,
    /// Length that its message announced, in bytes.
    pub announced_bytes: Option<usize>,
    /// When its last bytes came.
    pub progress_at: MonoTime,
    /// Priority of its request; 0 is the highest.
    pub priority: u32,
    /// How far its message has come.
    pub stage: BodyStage,
}

/// How far the message of a body has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyStage {
    /// The request is being read.
    Reading,
    /// The request is complete and has not been forwarded.
    Waiting,
    /// Bytes of the request may have been sent to a server or to another instance.
    Forwarded,
    /// It is an answer.
    Answer,
}

impl BodyAccount {
    /// Time without progress that counts as a stop. Shorter ones occur when the network or this
    /// process is busy.
    const STOP_TIME: Duration = Duration::from_secs(1);

    /// Account of a request whose body is about to be read.
    pub fn reading(announced_bytes: Option<usize>, priority: u32, now: MonoTime) -> Self {
        Self {
            held_bytes: 0,
            announced_bytes,
            progress_at: now,
            priority,
            stage: BodyStage::Reading,
        }
    }

    /// Account of an answer whose body is about to be read.
    pub fn answer(announced_bytes: Option<usize>, now: MonoTime) -> Self {
        Self {
            stage: BodyStage::Answer,
            ..Self::reading(announced_bytes, 0, now)
        }
    }

    /// Expected size, in bytes.
    pub(crate) fn size(&self) -> usize {
        self.held_bytes.max(self.announced_bytes.unwrap_or(0))
    }

    pub(crate) fn is_large(&self) -> bool {
        self.size() > MemoryLedger::SMALL_BYTES
    }

    /// Bytes that count towards the budget.
    pub(crate) fn charge(&self) -> usize {
        let read_buffer = match self.stage {
            BodyStage::Reading => self.held_bytes.min(MemoryLedger::SMALL_BYTES),
            _ => 0,
        };
        self.held_bytes + read_buffer
    }

    pub(crate) fn large_charge(&self) -> usize {
        match self.is_large() {
            true => self.charge(),
            false => 0,
        }
    }

    pub(crate) fn large_answer_charge(&self) -> usize {
        match self.stage {
            BodyStage::Answer => self.large_charge(),
            _ => 0,
        }
    }

    /// Place in the order of eviction; the greatest is evicted first. Sizes are compared by powers
    /// of two, so that priority and age decide between bodies of about the same size.
    pub(crate) fn eviction_order(&self, id: BodyId, now: MonoTime) -> (u64, u32, u32, BodyId) {
        let stopped = match self.stage {
            // A complete body waits for this instance, not for its caller.
            BodyStage::Waiting => 0,
            _ => now.since(self.progress_at).as_secs() / Self::STOP_TIME.as_secs(),
        };
        (stopped, self.size().max(1).ilog2(), self.priority, id)
    }
}
