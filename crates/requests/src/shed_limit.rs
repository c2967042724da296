//! The limit of a server that sheds load below its declared slots.
//!
//! A refusal by the server lowers the limit below what was running; each limit's worth of answers
//! raises it by one.

use crate::prelude::*;

/// Requests that a server has shown to take.
#[derive(Clone, Copy, Debug)]
pub struct ShedLimit {
    /// Limit in 64ths of a slot; none until the server sheds.
    limit: Option<u32>,
    lowered_at: MonoTime,
}

impl Default for ShedLimit {
    fn default() -> Self {
        Self {
            limit: None,
            lowered_at: MonoTime(0),
        }
    }
}

impl ShedLimit {
    /// Fractions of a slot that are counted.
    const FRACTION: u32 = 64;
    /// Refusals within this time count as one.
    pub const HOLD: Duration = Duration::from_millis(50);

    /// Slots to use of the declared ones, at least 1.
    pub fn of(&self, declared: u32) -> u32 {
        let shown = self.limit.map_or(declared, |limit| limit / Self::FRACTION);
        shown.clamp(1, declared.max(1))
    }

    /// Notes that the server refused a request while `running` were at it.
    pub fn refused(&mut self, running: u32, declared: u32, now: MonoTime) {
        if self.limit.is_some() && now < self.lowered_at.after(Self::HOLD) {
            return;
        }
        let lowered = self.of(declared).min(running).saturating_sub(1).max(1);
        self.limit = Some(lowered * Self::FRACTION);
        self.lowered_at = now;
    }

    /// Notes an answer.
    pub fn answered(&mut self, declared: u32) {
        let Some(limit) = self.limit else {
            return;
        };
        let slots = (limit / Self::FRACTION).max(1);
        let raised = limit + Self::FRACTION / slots;
        self.limit = (raised < declared * Self::FRACTION).then_some(raised);
    }
}
