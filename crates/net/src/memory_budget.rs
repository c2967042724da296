//! Memory that the bodies of requests and answers may use together.

use crate::{prelude::*, stored_body::BodyCell};
use std::sync::Weak;

/// Budget of memory, with the bodies that hold a part of it.
#[derive(Debug)]
pub struct MemoryBudget {
    state: StateMutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    ledger: MemoryLedger,
    /// Requests that can be evicted.
    requests: IndexMap<BodyId, Weak<BodyCell>>,
}

/// Why a body gets no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryDenial {
    /// There is no room for more of it.
    NoRoom,
    /// What it held has been given to others.
    Evicted,
}

/// Part of a budget that one body holds, given back on drop.
#[derive(Debug)]
pub(crate) struct BodyShare {
    id: BodyId,
    budget: Arc<MemoryBudget>,
}

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Arc<Self> {
        Self::with_limits(MemoryLimits {
            total_bytes: bytes,
            answer_bytes: bytes,
        })
    }

    /// Creates a budget with these limits.
    pub fn with_limits(limits: MemoryLimits) -> Arc<Self> {
        Arc::new(Self {
            state: StateMutex::new(BudgetState {
                ledger: MemoryLedger::new(limits),
                requests: IndexMap::new(),
            }),
        })
    }

    /// Bytes that are left.
    pub fn left(&self) -> usize {
        self.state.lock().ledger.left()
    }

    /// Bytes that bodies hold.
    pub fn used(&self) -> usize {
        self.state.lock().ledger.used()
    }

    /// Adds a body that holds nothing yet.
    pub(crate) fn open(self: &Arc<Self>, account: BodyAccount) -> BodyShare {
        BodyShare {
            id: self.state.lock().ledger.open(account),
            budget: self.clone(),
        }
    }
}

impl BodyShare {
    /// Makes the body one that can be evicted.
    pub(crate) fn allow_eviction(&self, cell: Weak<BodyCell>) {
        self.budget.state.lock().requests.insert(self.id, cell);
    }

    /// Records that bytes of the body came.
    pub(crate) fn record_progress(&self, now: MonoTime) {
        let mut state = self.budget.state.lock();
        state.ledger.record_progress(self.id, now);
    }

    /// Records how far the body's message has come; false if the body has been evicted.
    pub(crate) fn set_stage(&self, stage: BodyStage) -> bool {
        self.budget.state.lock().ledger.set_stage(self.id, stage)
    }

    /// Takes memory for the body, and evicts others if they have to give way.
    pub(crate) fn take(&self, bytes: usize, now: MonoTime) -> Result<(), MemoryDenial> {
        let mut evicted = Vec::new();
        let mut state = self.budget.state.lock();
        if state.ledger.account(self.id).is_none() {
            return Err(MemoryDenial::Evicted);
        }
        match state.ledger.decide(self.id, bytes, now) {
            MemoryVerdict::Take => {}
            MemoryVerdict::Refuse => return Err(MemoryDenial::NoRoom),
            MemoryVerdict::Evict(victims) => {
                for victim in victims {
                    state.ledger.close(victim);
                    evicted.extend(state.requests.swap_remove(&victim));
                }
            }
        }
        state.ledger.take(self.id, bytes);
        // A body that ends with the last reference to it locks the budget.
        drop(state);
        for cell in evicted.iter().filter_map(Weak::upgrade) {
            cell.evict();
        }
        Ok(())
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock();
        state.requests.swap_remove(&self.id);
        state.ledger.close(self.id);
    }
}
