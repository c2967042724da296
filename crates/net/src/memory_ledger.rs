//! Decides which bodies may take memory from a shared budget.
//!
//! Bytes are counted as they come, not as a length announces them, so that a body which only
//! announces a length takes nothing from others. While a body is read, its first 64 KiB count twice, as
//! an allowance for the buffers of its connection. Bodies of up to 64 KiB may use almost the whole
//! budget and larger ones all but a part of it, so that small ones find room beside large ones. The rest
//! is for answers, which servers have given already, and for requests of the highest priority.
//!
//! When the budget is exhausted, the order of eviction decides whether the body that asks goes on
//! or others are evicted for it: bodies that stopped for longest, then larger ones, then those of
//! lower priority, then later ones. Of many bodies that are equal in all else the earliest ones are
//! thus read to their end. A body that was forwarded may have run and is never evicted, and neither
//! is an answer.

use crate::prelude::*;
use std::cmp::Reverse;

/// Accounts of all bodies that hold memory from one budget.
#[derive(Debug)]
pub struct MemoryLedger {
    limits: MemoryLimits,
    used: usize,
    used_by_large: usize,
    used_by_large_answers: usize,
    accounts: IndexMap<BodyId, BodyAccount>,
    last_id: u64,
}

/// Bounds of a budget.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// Bytes of all bodies together.
    pub total_bytes: usize,
    /// Bytes of all answers of more than [`MemoryLedger::SMALL_BYTES`] together.
    pub answer_bytes: usize,
}

/// Whether a body may take more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemoryVerdict {
    /// There is room.
    Take,
    /// There is room once these bodies are evicted.
    Evict(Vec<BodyId>),
    /// There is no room for the body that asks.
    Refuse,
}

impl MemoryLedger {
    /// Size up to which a body is small, in bytes.
    pub const SMALL_BYTES: usize = 64 << 10;
    /// Part of the budget that only small bodies use, as a divisor.
    const SMALL_DIVISOR: usize = 16;
    /// Part of the budget that only answers use, and of the same size again that requests of the highest
    /// priority use besides, as a divisor.
    const RESERVE_DIVISOR: usize = 64;

    /// Creates a ledger without bodies.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            used: 0,
            used_by_large: 0,
            used_by_large_answers: 0,
            accounts: IndexMap::new(),
            last_id: 0,
        }
    }

    /// Bytes that bodies hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Bytes that are left.
    pub fn left(&self) -> usize {
        self.limits.total_bytes.saturating_sub(self.used)
    }

    /// Account of a body; `None` once it has ended or is evicted.
    pub fn account(&self, id: BodyId) -> Option<&BodyAccount> {
        self.accounts.get(&id)
    }

    /// Adds a body that holds nothing yet.
    pub fn open(&mut self, account: BodyAccount) -> BodyId {
        self.last_id += 1;
        let id = BodyId(self.last_id);
        let account = BodyAccount {
            held_bytes: 0,
            ..account
        };
        self.accounts.insert(id, account);
        id
    }

    /// Removes a body that has ended or is evicted, with all that it holds.
    pub fn close(&mut self, id: BodyId) {
        if let Some(account) = self.accounts.swap_remove(&id) {
            self.subtract(&account);
        }
    }

    /// Records that bytes of the body came.
    pub fn record_progress(&mut self, id: BodyId, now: MonoTime) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.progress_at = now;
        }
    }

    /// Records how far the message of the body has come; false if it is no longer there.
    pub fn set_stage(&mut self, id: BodyId, stage: BodyStage) -> bool {
        self.update(id, |account| account.stage = stage)
    }

    /// Adds bytes to what the body holds; false if it is no longer there.
    pub fn take(&mut self, id: BodyId, bytes: usize) -> bool {
        self.update(id, |account| account.held_bytes += bytes)
    }

    /// Decides whether the body may hold `bytes` more.
    pub fn decide(&self, id: BodyId, bytes: usize, now: MonoTime) -> MemoryVerdict {
        let Some(account) = self.accounts.get(&id) else {
            return MemoryVerdict::Refuse;
        };
        let grown = BodyAccount {
            held_bytes: account.held_bytes + bytes,
            ..*account
        };
        let mut excess = Excess::of(self, account, &grown);
        if excess.is_none() {
            return MemoryVerdict::Take;
        }
        if grown.size() > self.limits.total_bytes {
            return MemoryVerdict::Refuse;
        }
        let evictable = self
            .accounts
            .iter()
            .filter(|(_, other)| matches!(other.stage, BodyStage::Reading | BodyStage::Waiting));
        let mut candidates: Vec<_> = evictable
            .map(|(other_id, other)| (Reverse(other.eviction_order(*other_id, now)), *other_id))
            .collect();
        candidates.sort_unstable();
        let mut victims = Vec::new();
        for (_, victim) in candidates {
            if victim == id {
                return MemoryVerdict::Refuse;
            }
            if excess.reduce(&self.accounts[&victim]) {
                victims.push(victim);
            }
            if excess.is_none() {
                return MemoryVerdict::Evict(victims);
            }
        }
        MemoryVerdict::Refuse
    }

    /// Bytes that all bodies together may hold when this one grows.
    fn total_limit(&self, account: &BodyAccount) -> usize {
        let total = self.limits.total_bytes;
        let reserve = total / Self::RESERVE_DIVISOR;
        match (account.stage, account.priority) {
            (BodyStage::Answer, _) => total,
            (_, 0) => total - reserve,
            _ => total - 2 * reserve,
        }
    }

    fn update(&mut self, id: BodyId, change: impl FnOnce(&mut BodyAccount)) -> bool {
        let Some(account) = self.accounts.get_mut(&id) else {
            return false;
        };
        let before = *account;
        change(account);
        let after = *account;
        self.subtract(&before);
        self.used += after.charge();
        self.used_by_large += after.large_charge();
        self.used_by_large_answers += after.large_answer_charge();
        true
    }

    fn subtract(&mut self, account: &BodyAccount) {
        self.used -= account.charge();
        self.used_by_large -= account.large_charge();
        self.used_by_large_answers -= account.large_answer_charge();
    }
}

/// Bytes by which a request for memory exceeds each bound.
struct Excess {
    total: usize,
    large: usize,
    answers: usize,
}

impl Excess {
    fn of(ledger: &MemoryLedger, before: &BodyAccount, grown: &BodyAccount) -> Self {
        let limits = &ledger.limits;
        let large_limit = limits.total_bytes - limits.total_bytes / MemoryLedger::SMALL_DIVISOR;
        let large = ledger.used_by_large - before.large_charge() + grown.large_charge();
        let answers = ledger.used_by_large_answers - before.large_answer_charge()
            + grown.large_answer_charge();
        Self {
            total: (ledger.used - before.charge() + grown.charge())
                .saturating_sub(ledger.total_limit(grown)),
            // What others hold does not bind a body that takes nothing as a large one.
            large: match grown.is_large() {
                true => large.saturating_sub(large_limit),
                false => 0,
            },
            answers: match grown.stage {
                BodyStage::Answer if grown.is_large() => {
                    answers.saturating_sub(limits.answer_bytes)
                }
                _ => 0,
            },
        }
    }

    fn is_none(&self) -> bool {
        self.total == 0 && self.large == 0 && self.answers == 0
    }

    /// Subtracts what an eviction frees; false if it frees nothing that is needed.
    fn reduce(&mut self, victim: &BodyAccount) -> bool {
        let helps_total = self.total > 0 && victim.charge() > 0;
        let helps_large = self.large > 0 && victim.large_charge() > 0;
        self.total = self.total.saturating_sub(victim.charge());
        self.large = self.large.saturating_sub(victim.large_charge());
        helps_total || helps_large
    }
}
