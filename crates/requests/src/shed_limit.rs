//! Adaptive concurrency limit of a server that refuses requests below its declared slots.
//!
//! A refusal by the server lowers the limit below the number of running requests. As many answers
//! as the limit has slots raise it by about one slot.

use crate::prelude::*;

/// Concurrency limit derived from the server's refusals and answers.
#[derive(Clone, Copy, Debug)]
pub struct ShedLimit {
    /// Limit in 64ths of a slot; `None` while the declared slots apply.
    limit_64ths: Option<u32>,
    lowered_at: MonoTime,
}

impl Default for ShedLimit {
    fn default() -> Self {
        Self {
            limit_64ths: None,
            lowered_at: MonoTime(0),
        }
    }
}

impl ShedLimit {
    /// Units of `limit_64ths` that make up one slot.
    const UNITS_PER_SLOT: u32 = 64;
    /// Time after a decrease during which further refusals have no effect.
    pub const REFUSAL_WINDOW: Duration = Duration::from_millis(50);

    /// Returns how many of the declared slots may be used, at least 1.
    pub fn effective_slots(&self, declared: u32) -> u32 {
        let slots = self
            .limit_64ths
            .map_or(declared, |limit| limit / Self::UNITS_PER_SLOT);
        slots.clamp(1, declared.max(1))
    }

    /// Records that the server refused a request while `running` requests ran there.
    pub fn record_refusal(&mut self, running: u32, declared: u32, now: MonoTime) {
        if self.limit_64ths.is_some() && now < self.lowered_at.after(Self::REFUSAL_WINDOW) {
            return;
        }
        let lowered = self
            .effective_slots(declared)
            .min(running)
            .saturating_sub(1)
            .max(1);
        self.limit_64ths = Some(lowered * Self::UNITS_PER_SLOT);
        self.lowered_at = now;
    }

    /// Records that the server answered a request.
    pub fn record_answer(&mut self, declared: u32) {
        let Some(limit) = self.limit_64ths else {
            return;
        };
        let slots = (limit / Self::UNITS_PER_SLOT).max(1);
        let raised = limit + Self::UNITS_PER_SLOT / slots;
        self.limit_64ths = (raised < declared * Self::UNITS_PER_SLOT).then_some(raised);
    }
}
